import type {HistoryView, Operation} from '../history-view.js';
import type {Finding, VersionSeen} from '../types.js';
import {describeEvents} from './describe.js';
import {type Examination, PromiseCheck} from './promise-check.js';

function isAccepted({ended}: Operation): boolean {
	return ended?.result === 'accepted';
}

/** P12: an accepted configuration never reverts, and each version is granted to one change only. */
export class ConfigCheck extends PromiseCheck {
	override readonly promise = 'P12';
	override readonly title = 'an accepted configuration never reverts and has one winner';
	override readonly unit = 'reads and accepted changes';

	protected override examine(view: HistoryView): Examination {
		const applies = view.operations.filter(operation => operation.started.action === 'apply' && isAccepted(operation));
		return {
			counted: view.versions.length + applies.length,
			findings: [
				...view.history.hosts.flatMap(({id}) => this.findReverts(view.versions.filter(({host}) => host === id))),
				...this.findTwoWinners(applies),
				...this.findConflictingDocuments(view, applies),
				...this.findRepeatedApplies(applies),
				...view.history.hosts.flatMap(({id}) => this.findLostChanges(view, id)),
			],
		};
	}

	private findReverts(reads: readonly VersionSeen[]): readonly Finding[] {
		return reads.flatMap((read, i) => {
			const previous = reads[i - 1];
			return previous && read.version < previous.version
				? [{what: `${read.host} turned back from version ${previous.version} to ${read.version}`, evidence: describeEvents(previous, read)}]
				: [];
		});
	}

	private findTwoWinners(applies: readonly Operation[]): readonly Finding[] {
		return applies.flatMap((operation, i) => {
			const other = applies.slice(0, i).find(({started, ended}) => ended?.version === operation.ended?.version && started.subject !== operation.started.subject);
			return other
				? [{what: `version ${operation.ended?.version} was granted to two changes`, evidence: describeEvents(other.started, other.ended, operation.started, operation.ended)}]
				: [];
		});
	}

	/** All hosts serve the same document under one version, and it is the accepted one. */
	private findConflictingDocuments(view: HistoryView, applies: readonly Operation[]): readonly Finding[] {
		const documentVersions = [...view.versions, ...applies.flatMap(({ended}) => ended ? [ended] : [])];
		const firstByVersion = new Map<number, (typeof documentVersions)[number]>();
		return documentVersions.flatMap(documentVersion => {
			const first = firstByVersion.get(documentVersion.version ?? 0) ?? documentVersion;
			firstByVersion.set(documentVersion.version ?? 0, first);
			return first.digest === documentVersion.digest ? [] : [{what: `version ${documentVersion.version} names two documents`, evidence: describeEvents(first, documentVersion)}];
		});
	}

	private findRepeatedApplies(applies: readonly Operation[]): readonly Finding[] {
		return applies.flatMap((operation, i) => {
			const first = applies.slice(0, i).find(({started, ended}) => started.subject === operation.started.subject && ended?.version !== operation.ended?.version);
			return first
				? [{what: `${operation.started.subject} was accepted as two versions`, evidence: describeEvents(first.started, first.ended, operation.started, operation.ended)}]
				: [];
		});
	}

	/** The last read of each host, which is made after all faults have ended, includes every accepted change. */
	private findLostChanges(view: HistoryView, host: string): readonly Finding[] {
		const last = view.versions.findLast(read => read.host === host);
		const newest = view.operations.filter(operation => isAccepted(operation)).toSorted((a, b) => (a.ended?.version ?? 0) - (b.ended?.version ?? 0)).at(-1);
		return last && newest && last.version < (newest.ended?.version ?? 0)
			? [{what: `${host} ends at version ${last.version} without the accepted version ${newest.ended?.version}`, evidence: describeEvents(newest.ended, last)}]
			: [];
	}
}
