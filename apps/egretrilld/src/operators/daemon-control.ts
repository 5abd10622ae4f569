import type {ConfigSource} from '@egretrill/callers';
import type {Fault, Settings, ZoneState} from '@egretrill/common';
import type {LiveTarget, TargetDirectory, ZoneOwner} from '@egretrill/engines';
import {
	type CommandOutcome, type FleetLog, type FleetResult, getDocumentDigest, type PeerDirectory, type VersionedConfigSource,
} from '@egretrill/hosts';
import type {EvidenceLog} from '@egretrill/monitor';
import {
	type ApplyOutcome, type ConfigChange, type ConfigInForce, type ControlRequest, type DrainOutcome, FleetControl, type FleetStatus,
	type HostStatus, type PlacementExplanation, type TargetStatus, type Unavailable, validateDocument, type WithdrawalOutcome, type ZoneStateOutcome,
} from '@egretrill/operators';
import {
	drainMethod, explainMethod, hostStatusMethod, inForceMethod, withdrawalMethod,
} from '../methods.js';

export type DaemonControlOptions = {
	readonly settings: Settings;
	readonly source: VersionedConfigSource;
	readonly config: ConfigSource;
	readonly log: FleetLog;
	readonly peers: PeerDirectory;
	readonly directory: TargetDirectory;
	readonly owner: ZoneOwner;
	readonly getZoneOwner: () => string | undefined;
	readonly getEvidence: () => EvidenceLog | undefined;
	readonly getTerm: () => number;
};

function toUnavailable(outcome: Exclude<CommandOutcome, {kind: 'committed'}>): Unavailable {
	return {result: 'unavailable', effect: outcome.kind, reason: outcome.reason};
}

function toAccepted({version, digest, author}: Extract<FleetResult, {kind: 'accepted'}>) {
	return {
		result: 'accepted' as const, version, digest, author,
	};
}

function toFault(result: FleetResult): Fault {
	const code = result.kind === 'refused' ? result.code : result.kind;
	switch (code) {
		case 'last-zone': {
			return {path: 'zones', expected: 'at least one zone in service', found: 'none'};
		}

		case 'request-id-reused': {
			return {path: 'requestId', expected: 'an id that no other change has used', found: 'the id of another change'};
		}

		default: {
			return {path: '', expected: 'a change that the fleet accepts', found: code};
		}
	}
}

function toTargetStatus({entry, ageMs}: LiveTarget): TargetStatus {
	const isCold = entry.cold || (entry.kind === 'engine' && !entry.warmth.warm);
	return {
		id: entry.targetId,
		startId: entry.startId,
		zone: entry.zone,
		kind: entry.kind,
		...(entry.service !== undefined && {service: entry.service}),
		state: entry.leaving ? 'leaving' : (isCold ? 'cold' : 'serving'),
		reportAgeMs: ageMs,
		load: entry.load,
		resident: entry.resident,
	};
}

/** Carries out operators' commands by proposals to the replicated log and calls to other hosts. */
export class DaemonControl extends FleetControl {
	constructor(private readonly opts: DaemonControlOptions) {
		super();
	}

	override async getConfig(): Promise<ConfigInForce | undefined> {
		return this.opts.source.getConfig();
	}

	override async apply({document, follows, requestId, author}: ConfigChange): Promise<ApplyOutcome> {
		const faults = validateDocument(document, this.opts.source.getConfig()?.document);
		const stamp = {author, requestId, follows};
		if (faults.length > 0) {
			await this.opts.getEvidence()?.append({
				kind: 'change-refused', ...stamp, reason: 'faults', faults: [...faults],
			});
			return {result: 'refused', faults: [...faults]};
		}

		const outcome = await this.opts.log.propose({
			kind: 'apply', document, follows, requestId, author, digest: getDocumentDigest(document),
		});
		if (outcome.kind !== 'committed') {
			return toUnavailable(outcome);
		}

		const {result} = outcome;
		if (result.kind === 'accepted') {
			await this.opts.getEvidence()?.append({
				kind: 'change-accepted', ...stamp, author: result.author, version: result.version, digest: result.digest,
			});
			return toAccepted(result);
		}

		if (result.kind === 'conflict') {
			await this.opts.getEvidence()?.append({
				kind: 'change-refused', ...stamp, reason: 'conflict', faults: [],
			});
			return {result: 'conflict', winner: {version: result.version, digest: result.digest, author: result.author}};
		}

		return {result: 'refused', faults: [toFault(result)]};
	}

	override async withdrawKey({id, author, requestId}: ControlRequest): Promise<WithdrawalOutcome> {
		const outcome = await this.opts.log.propose({
			kind: 'withdrawKey', keyId: id, requestId, author,
		});
		if (outcome.kind !== 'committed') {
			return toUnavailable(outcome);
		}

		if (outcome.result.kind === 'refused') {
			return {result: 'not-found', reason: outcome.result.message};
		}

		const state = await this.getWithdrawal(id);
		const customer = this.findKey(id)?.customer;
		if (customer !== undefined && (state.result === 'pending' || state.result === 'in-force')) {
			await this.opts.getEvidence()?.append({
				kind: 'key-withdrawn', key: id, customer, version: state.version, state: state.result, author,
			});
		}

		return state;
	}

	override async getWithdrawal(keyId: string): Promise<WithdrawalOutcome> {
		const leaderId = this.opts.source.getLeaderId();
		const answer = leaderId === undefined ? undefined : await this.opts.peers.call(leaderId, withdrawalMethod, {keyId});
		if (!answer?.isOk) {
			return {result: 'unavailable', effect: 'not-applied', reason: 'The leader did not answer.'};
		}

		const {isKnown, isInForce, version, waitingFor} = answer.value;
		if (!isKnown) {
			return this.findKey(keyId) ? {result: 'not-withdrawn', key: keyId} : {result: 'not-found', reason: `There is no key ${keyId}.`};
		}

		return isInForce
			? {result: 'in-force', key: keyId, version}
			: {
				result: 'pending', key: keyId, version, waitingFor,
			};
	}

	override async setZoneState({id, author, requestId}: ControlRequest, state: ZoneState): Promise<ZoneStateOutcome> {
		const outcome = await this.opts.log.propose({
			kind: 'setZoneState', zone: id, state, requestId, author,
		});
		if (outcome.kind !== 'committed') {
			return toUnavailable(outcome);
		}

		const {result} = outcome;
		if (result.kind === 'accepted') {
			await this.opts.getEvidence()?.append({
				kind: 'zone-changed', zone: id, state, version: result.version, author: result.author,
			});
			return toAccepted(result);
		}

		if (result.kind === 'refused' && result.code === 'unknown-zone') {
			return {result: 'not-found', reason: result.message};
		}

		return {result: 'refused', faults: [toFault(result)]};
	}

	override async drainHost({id, author}: ControlRequest): Promise<DrainOutcome> {
		if (!this.opts.settings.peers.some(peer => peer.id === id)) {
			return {result: 'not-found', reason: `There is no host ${id}.`};
		}

		const answer = await this.opts.peers.call(id, drainMethod, {author});
		return answer.isOk
			? {result: 'draining', host: id}
			: {
				result: 'unavailable', effect: answer.error.code === 'unreachable' ? 'not-applied' : 'unknown', reason: answer.error.message,
			};
	}

	override async getStatus(): Promise<FleetStatus> {
		const {settings, source, peers, getTerm} = this.opts;
		const config = source.getConfig();
		const leaderId = source.getLeaderId();
		const inForce = leaderId === undefined ? undefined : await peers.call(leaderId, inForceMethod, {});
		const versions = inForce?.isOk ? inForce.value.versions : {};
		return {
			host: settings.host,
			zone: settings.zone,
			leader: leaderId ?? null,
			term: getTerm(),
			inForce: config ? {version: config.version, digest: config.digest, author: config.author} : null,
			hosts: await Promise.all(settings.peers.map(async peer => this.getHostStatus(peer.id, peer.zone, versions[peer.id] ?? 0))),
			zones: config ? [...config.document.zones] : [],
		};
	}

	override async getTargets(): Promise<readonly TargetStatus[]> {
		return this.opts.directory.getTargets().map(target => toTargetStatus(target));
	}

	override async explainPlacement(model: string): Promise<PlacementExplanation | undefined> {
		if (!this.opts.config.getIndex()?.models.has(model)) {
			return undefined;
		}

		const copies = this.opts.directory.getTargets().flatMap(({entry}) => entry.resident
			.filter(resident => resident.model === model)
			.map(({version}) => ({target: entry.targetId, version, state: 'resident' as const})));
		const ownerId = this.opts.getZoneOwner();
		const answer = ownerId === undefined ? undefined : await this.opts.peers.call(ownerId, explainMethod, {model});
		// If the owner does not answer, this host returns its own decisions from the time when it owned the zone.
		const {demandPerS, explanations} = answer?.isOk ? answer.value : this.opts.owner.explain(model);
		const candidates = explanations.map(({targetId = '', decision, reason, weighedAgainst}) => ({
			target: targetId === '' ? 'none' : targetId, chosen: decision === 'move', reason: `${decision}: ${reason} (weighed against ${weighedAgainst})`,
		}));
		return {
			model, demand: Number(demandPerS.toFixed(2)), copies, candidates,
		};
	}

	private findKey(keyId: string) {
		return this.opts.source.getConfig()?.document.keys.find(key => key.id === keyId);
	}

	private async getHostStatus(id: string, zone: string, version: number): Promise<HostStatus> {
		const answer = await this.opts.peers.call(id, hostStatusMethod, {});
		return answer.isOk
			? {
				id, zone, live: true, version, ...answer.value,
			}
			: {
				id, zone, live: false, ready: false, version, reasons: [answer.error.message],
			};
	}
}
