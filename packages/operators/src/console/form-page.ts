import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import {type Fault, groupBy} from '@egretrill/common';
import {ENTRIES_PER_YIELD} from '../constants.js';
import {getAt, getEntries, type Draft} from './draft.js';
import {
	documentFields, sections, type FormField, type FormSection,
} from './form-sections.js';
import {html, type Html} from './html.js';

/** Content of the form page. */
export type FormState = {
	readonly draft: Draft;
	readonly follows: number;
	readonly token: string;
	readonly faults?: readonly Fault[];
	/** Path of a newly added entry, which receives the focus. */
	readonly focus?: string;
	/** A newly generated key, which is shown only on this page. */
	readonly secret?: string;
};

type RenderContext = FormState & {readonly anchors: Set<string>; readonly faultsByPath: ReadonlyMap<string, readonly Fault[]>};

function registerAnchor(ctx: RenderContext, path: string): string {
	ctx.anchors.add(path);
	return getElementId(path);
}

function getElementId(path: string): string {
	return `f-${path.replaceAll('.', '-')}`;
}

function getText(value: unknown): string {
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

function renderFaults(faults: readonly Fault[]): readonly Html[] {
	return faults.map(fault => html`Expected ${fault.expected}, found ${fault.found}. `);
}

function renderInput(ctx: RenderContext, field: FormField, path: string, attributes: Html): Html {
	const value = getAt(ctx.draft, path);
	if (field.kind === 'select') {
		return html`<select name="${path}" ${attributes}>${(field.options ?? []).map(option => html`<option${option === value && html` selected`}>${option}</option>`)}</select>`;
	}

	if (field.kind === 'checkbox') {
		return html`<input type="checkbox" name="${path}" value="true"${value === true && html` checked`} ${attributes}>`;
	}

	const mode = field.kind === 'number' && html` inputmode="decimal"`;
	const list = field.suggestionSource && html` list="${`ids-${field.suggestionSource}`}"`;
	return html`<input type="text" name="${path}" value="${getText(value)}" autocomplete="off"${mode}${list}${field.isReadOnly && html` readonly`} ${attributes}>`;
}

function renderField(ctx: RenderContext, field: FormField, prefix: string, isFocused: boolean): Html {
	const path = `${prefix}${field.name}`;
	const id = registerAnchor(ctx, path);
	const faults = ctx.faultsByPath.get(path) ?? [];
	const descriptionIds = [...(field.hint ? [`${id}-hint`] : []), ...(faults.length > 0 ? [`${id}-fault`] : [])].join(' ');
	const describedBy = descriptionIds !== '' && html` aria-describedby="${descriptionIds}"`;
	const attributes = html`id="${id}"${faults.length > 0 && html` aria-invalid="true"`}${describedBy}${isFocused && html` autofocus`}`;
	const hintMarkup = field.hint && html`<p class="hint" id="${`${id}-hint`}">${field.hint}</p>`;
	const faultMarkup = faults.length > 0 && html`<p class="fault" id="${`${id}-fault`}">${renderFaults(faults)}</p>`;
	return html`
		<div class="field"><label for="${id}">${field.label}</label>
		${hintMarkup}${faultMarkup}${renderInput(ctx, field, path, attributes)}</div>
	`;
}

function getEntryName(section: FormSection, entry: unknown, i: number): string {
	const name = section.fields[0] && getAt(entry, section.fields[0].name);
	return typeof name === 'string' && name !== '' ? `${section.entryLabel} ${name}` : `${section.entryLabel} ${i + 1}`;
}

function renderEntryFaults(ctx: RenderContext, path: string): Html {
	const faults = ctx.faultsByPath.get(path) ?? [];
	return html`${faults.length > 0 && html`<p class="fault">${renderFaults(faults)}</p>`}`;
}

function renderEntry(ctx: RenderContext, section: FormSection, path: string, i: number): Html {
	const name = getEntryName(section, getAt(ctx.draft, path), i);
	const fields = section.fields.map((field, fieldIndex) => renderField(ctx, field, `${path}.`, ctx.focus === path && fieldIndex === 0));
	const lists = (section.lists ?? []).map(list => {
		const listPath = `${path}.${list.path}`;
		return renderList(ctx, list, listPath, getEntries(ctx.draft, listPath).map((_, index) => renderEntry(ctx, list, `${listPath}.${index}`, index)));
	});
	return html`
		<fieldset id="${registerAnchor(ctx, path)}"><legend>${name}</legend>
		${renderEntryFaults(ctx, path)}${fields}${lists}<button name="action" value="${`remove ${path}`}">Remove ${name}</button>
		</fieldset>
	`;
}

function renderList(ctx: RenderContext, section: FormSection, path: string, entries: readonly Html[]): Html {
	const heading = path === section.path ? html`<h2>${section.title}</h2>` : html`<h3>${section.title}</h3>`;
	return html`
		<section id="${registerAnchor(ctx, path)}" aria-label="${section.title}">${heading}
		${renderEntryFaults(ctx, path)}${entries}<button name="action" value="${`add ${path}`}">Add ${section.entryLabel.toLowerCase()}</button>
		</section>
	`;
}

async function renderSection(ctx: RenderContext, section: FormSection): Promise<Html> {
	const entries: Html[] = [];
	for (const i of getEntries(ctx.draft, section.path).keys()) {
		entries.push(renderEntry(ctx, section, `${section.path}.${i}`, i));
		if (entries.length % ENTRIES_PER_YIELD === 0) {
			await yieldToEventLoop();
		}
	}

	return renderList(ctx, section, section.path, entries);
}

function renderSuggestions(draft: Draft): Html {
	const lists = {
		customers: 'id', models: 'id', services: 'id', accelerators: 'target',
	};
	return html`${Object.entries(lists).map(([path, field]) => html`
		<datalist id="${`ids-${path}`}">${getEntries(draft, path).map(entry => html`<option value="${getText(getAt(entry, field))}">`)}</datalist>
	`)}`;
}

function renderSummary(ctx: RenderContext): Html | undefined {
	const faults = ctx.faults ?? [];
	if (faults.length === 0) {
		return undefined;
	}

	const links = faults.map(fault => {
		let anchor = fault.path;
		while (anchor !== '' && !ctx.anchors.has(anchor)) {
			anchor = anchor.slice(0, Math.max(0, anchor.lastIndexOf('.')));
		}

		return html`
			<li><a href="${anchor === '' ? '#main' : `#${getElementId(anchor)}`}">${fault.path}: expected ${fault.expected}, found ${fault.found}</a></li>
		`;
	});
	return html`
		<div class="summary" role="alert" tabindex="-1" autofocus><h2>Nothing was applied: ${faults.length === 1 ? '1 fault' : `${faults.length} faults`}</h2><ul>
		${links}</ul></div>
	`;
}

/** Renders the form that edits the whole document; yields to the event loop between batches of entries. */
export async function renderForm(state: FormState): Promise<Html> {
	const ctx: RenderContext = {...state, anchors: new Set(), faultsByPath: groupBy(state.faults ?? [], fault => fault.path)};
	const fields = documentFields.map(field => renderField(ctx, field, '', false));
	const lists: Html[] = [];
	for (const section of sections) {
		lists.push(await renderSection(ctx, section));
	}

	return html`
		${renderSummary(ctx)}${state.secret !== undefined && html`
			<div class="notice" role="status"><h2>The new key</h2>
			<p>Hand this key to the customer now. It is not stored and cannot be shown again.</p><p><code>${state.secret}</code></p></div>
		`}<nav aria-label="Sections"><ul>${sections.map(section => html`<li><a href="#${getElementId(section.path)}">${section.title}</a></li>`)}</ul></nav>
		<form method="post" action="/console">
		<input type="hidden" name="token" value="${state.token}"><input type="hidden" name="follows" value="${state.follows}">
		<button name="action" value="review">Review changes</button>
		<section aria-label="Fleet and weight store"><h2>Fleet and weight store</h2>
		${fields}</section>
		${lists}<button name="action" value="review">Review changes</button>
		</form>
		${renderSuggestions(state.draft)}
	`;
}
