import type {ConfigDocument} from '@egretrill/common';
import type {ConfigInForce, ConfigStamp} from '../types.js';
import {getDifferences} from './difference.js';
import {html, type Html} from './html.js';

/** A document that awaits the operator's confirmation, with the request id by which a resend is recognised. */
export type Proposal = {
	readonly document: ConfigDocument;
	readonly follows: number;
	readonly requestId: string;
	readonly token: string;
};

/** Style sheet of the console; text colours have a contrast ratio of at least 4.5:1. */
export const styleSheet = `body{font:16px/1.5 system-ui,sans-serif;margin:0 auto;max-width:60rem;padding:1rem;color:#111;background:#fff}
.field{margin:.5rem 0}label{display:block;font-weight:600}
input[type=text],input[type=password],select{font:inherit;width:100%;max-width:40rem;box-sizing:border-box}
.hint{margin:0;color:#444}.fault{margin:0;color:#a00;font-weight:600}.summary{border:3px solid #a00;padding:0 1rem}.notice{border:3px solid #05a;padding:0 1rem}
:focus{outline:3px solid #05a;outline-offset:2px}fieldset{margin:1rem 0}
table{border-collapse:collapse}th,td{border:1px solid #666;padding:.25rem .5rem;text-align:left;overflow-wrap:anywhere}
`;

/** Renders a whole page with the given main content. */
export function renderPage(title: string, main: Html): string {
	return html`
		<!doctype html>
		<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
		<title>${title} - egretrill</title><link rel="stylesheet" href="/console/style.css"></head>
		<body><a href="#main">Skip to content</a>
		<main id="main"><h1>${title}</h1>
		${main}</main></body></html>
	`.markup;
}

/** Renders the sign-in form. */
export function renderSignIn(fault?: string): Html {
	return html`
		${fault !== undefined && html`
			<div class="summary" role="alert"><p><a href="#credential">${fault}</a></p></div>
		`}<form method="post" action="/console/sign-in">
		<div class="field"><label for="user">Your name</label>
		<p class="hint" id="user-hint">It is recorded as the author of your changes.</p>
		<input type="text" id="user" name="user" autocomplete="username" aria-describedby="user-hint"></div>
		<div class="field"><label for="credential">Operator credential</label>
		<input type="password" id="credential" name="credential" autocomplete="current-password"></div>
		<button>Sign in</button>
		</form>
	`;
}

/** Renders the signed-in operator and the configuration in force. */
export function renderStatus(author: string, token: string, inForce: ConfigStamp | undefined): Html {
	const stamp = inForce ? `Version ${inForce.version} by ${inForce.author} is in force (digest ${inForce.digest}).` : 'No configuration is in force yet.';
	return html`
		<p>${stamp}</p>
		<form method="post" action="/console/sign-out"><input type="hidden" name="token" value="${token}"><p>Signed in as ${author}. <button>Sign out</button></p></form>
	`;
}

function renderDifferences(before: ConfigDocument | undefined, after: ConfigDocument): Html {
	const differences = getDifferences(before, after).filter(difference => difference.path !== 'version');
	if (differences.length === 0) {
		return html`
			<p>The document does not differ from what is in force.</p>
		`;
	}

	const rows = differences.map(({path, before: oldText, after: newText}) => html`
		<tr><th scope="row">${path}</th><td>${oldText ?? 'nothing'}</td><td>${newText ?? 'nothing'}</td></tr>
	`);
	return html`
		<table><caption>Difference to what is in force</caption><thead><tr><th scope="col">Field</th><th scope="col">In force</th><th scope="col">Proposed</th></tr></thead><tbody>
		${rows}</tbody></table>
	`;
}

function renderProposalForm(proposal: Proposal, actions: ReadonlyArray<readonly [string, string]>): Html {
	const {token, follows, requestId, document} = proposal;
	const hidden = {
		token, follows: String(follows), requestId, draft: JSON.stringify(document),
	};
	return html`
		<form method="post" action="/console">
		${Object.entries(hidden).map(([name, value]) => html`<input type="hidden" name="${name}" value="${value}">`)}
		${actions.map(([action, label]) => html`
			<button name="action" value="${action}">${label}</button>
		`)}</form>
	`;
}

/** Renders the differences from the configuration in force, with buttons to apply or edit the document. */
export function renderReview(proposal: Proposal, inForce: ConfigInForce | undefined): Html {
	return html`
		<p>Version ${proposal.document.version} would follow version ${proposal.follows}. It is applied in full or not at all.</p>
		${renderDifferences(inForce?.document, proposal.document)}${renderProposalForm(proposal, [['apply', 'Apply'], ['edit', 'Back to the form']])}
	`;
}

/** Renders a conflict: another change has come into force first. */
export function renderConflict(proposal: Proposal, winner: ConfigStamp, inForce: ConfigInForce | undefined): Html {
	return html`
		<div class="summary" role="alert"><p>Nothing was applied: version ${winner.version} by ${winner.author} (digest ${winner.digest}) is in force,
		and your document follows version ${proposal.follows}.</p></div>
		<p><a href="/console">Start again from what is in force</a>, or keep your document: it would then undo whatever the table lists and you did not mean to change.</p>
		${renderDifferences(inForce?.document, proposal.document)}${renderProposalForm(proposal, [['rebase', 'Keep my document and review it again']])}
	`;
}

/** Renders the stamp of an accepted change. */
export function renderAccepted(stamp: ConfigStamp): Html {
	return html`
		<div class="notice" role="status"><p>Version ${stamp.version} by ${stamp.author} is accepted (digest ${stamp.digest}).</p></div>
		<p><a href="/console">Back to the form</a></p>
	`;
}

/** Renders an outcome that is not definite. A resend has the same request id, so the document cannot be applied twice. */
export function renderUnavailable(proposal: Proposal, effect: 'not-applied' | 'unknown', reason: string): Html {
	const effectText = effect === 'unknown' ? 'It is not known whether the document was applied.' : 'The document was not applied.';
	return html`
		<div class="summary" role="alert"><p>${effectText} ${reason}</p></div>
		<p>Sending it again is safe: it cannot be applied twice.</p>
		${renderProposalForm(proposal, [['apply', 'Send again'], ['edit', 'Back to the form']])}
	`;
}

/** Renders a message without a form. */
export function renderMessage(message: string): Html {
	return html`
		<div class="summary" role="alert"><p>${message}</p></div>
		<p><a href="/console">Back to the form</a></p>
	`;
}
