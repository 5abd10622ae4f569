import type {HistoryView, Operation} from '../history-view.js';
import type {Finding, VersionSeen} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examined, PromiseCheck} from './promise-check.js';

function isAccepted({ended}: Operation): boolean {
	return ended?.result === 'accepted';
}

/** P12: an accepted configuration never reverts, and each version has one winner. */
export class ConfigCheck extends PromiseCheck {
	override readonly promise = 'P12';
	override readonly title = 'an accepted configuration never reverts and has one winner';
	override readonly unit = 'reads and accepted changes';

	protected override examine(view: HistoryView): Examined {
		const applies = view.operations.filter(operation => operation.begun.action === 'apply' && isAccepted(operation));
		return {
			counted: view.versions.length + applies.length,
			findings: [
				...view.history.hosts.flatMap(({id}) => this.findReverts(view.versions.filter(({host}) => host === id))),
				...this.findTwoWinners(applies),
				...this.findTwoDocuments(view, applies),
				...this.findResendsWithNewAnswer(applies),
				...view.history.hosts.flatMap(({id}) => this.findLost(view, id)),
			],
		};
	}

	private findReverts(reads: readonly VersionSeen[]): readonly Finding[] {
		return reads.flatMap((read, i) => {
			const before = reads[i - 1];
			return before && read.version < before.version
				? [{what: `${read.host} turned back from version ${before.version} to ${read.version}`, evidence: describeEvents(before, read)}]
				: [];
		});
	}

	private findTwoWinners(applies: readonly Operation[]): readonly Finding[] {
		return applies.flatMap((operation, i) => {
			const other = applies.slice(0, i).find(({begun, ended}) => ended?.version === operation.ended?.version && begun.subject !== operation.begun.subject);
			return other
				? [{what: `version ${operation.ended?.version} was granted to two changes`, evidence: describeEvents(other.begun, other.ended, operation.begun, operation.ended)}]
				: [];
		});
	}

	/** Two hosts may not serve different documents under one version, nor another than the accepted one. */
	private findTwoDocuments(view: HistoryView, applies: readonly Operation[]): readonly Finding[] {
		const stamps = [...view.versions, ...applies.flatMap(({ended}) => ended ? [ended] : [])];
		const firsts = new Map<number, (typeof stamps)[number]>();
		return stamps.flatMap(stamp => {
			const first = firsts.get(stamp.version ?? 0) ?? stamp;
			firsts.set(stamp.version ?? 0, first);
			return first.digest === stamp.digest ? [] : [{what: `version ${stamp.version} names two documents`, evidence: describeEvents(first, stamp)}];
		});
	}

	private findResendsWithNewAnswer(applies: readonly Operation[]): readonly Finding[] {
		return applies.flatMap((operation, i) => {
			const first = applies.slice(0, i).find(({begun, ended}) => begun.subject === operation.begun.subject && ended?.version !== operation.ended?.version);
			return first
				? [{what: `${operation.begun.subject} was accepted as two versions`, evidence: describeEvents(first.begun, first.ended, operation.begun, operation.ended)}]
				: [];
		});
	}

	/** The last read of each host, after all faults have ended, has every accepted change. */
	private findLost(view: HistoryView, host: string): readonly Finding[] {
		const last = view.versions.findLast(read => read.host === host);
		const newest = view.operations.filter(operation => isAccepted(operation)).toSorted((a, b) => (a.ended?.version ?? 0) - (b.ended?.version ?? 0)).at(-1);
		return last && newest && last.version < (newest.ended?.version ?? 0)
			? [{what: `${host} ends at version ${last.version} without the accepted version ${newest.ended?.version}`, evidence: describeEvents(newest.ended, last)}]
			: [];
	}
}
