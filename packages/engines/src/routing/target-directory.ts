import {ANNOUNCE_TTL_MS, type Announcement, type Clock} from '@egretrill/common';
import {
	LOAD_STEPS, MAX_FLEET_FACTOR, MAX_SUMMARY_MODELS, MAX_SUMMARY_TARGETS, MAX_TOMBSTONES, ZONE_RETURN_RAMP_MS,
} from './constants.js';
import {
	type EntrySource, getLoadChange, getNewerWarmth, type ReportedEntry, TargetRecord,
} from './target-record.js';
import type {
	Candidate, CandidateQuery, CandidateSet, DigestPosition, DirectoryDigest, DirectoryEntry, LoadChange, ModelSummary, ExclusionCounts, Warmth, ZoneCondition, ZoneSummary,
} from './types.js';

/** Identifies one request of this host at one start of a target. */
export type OwnRequest = {readonly targetId: string; readonly startId: string; readonly id: number};

/** A live target with the age and source of its load report. */
export type LiveTarget = {readonly entry: DirectoryEntry; readonly ageMs: number; readonly source: EntrySource};

type DigestSource = {position: DigestPosition; targets: Map<number, StartKey>};

type StartKey = {readonly targetId: string; readonly startId: string};

type Tombstone = {readonly handle: number; readonly seq: number};

function getZoneShare(condition: ZoneCondition | undefined): number {
	return condition?.state === 'returning' ? Math.min(1, condition.sinceMs / ZONE_RETURN_RAMP_MS) : 1;
}

function getAdapters(record: TargetRecord, query: CandidateQuery): ReadonlySet<string> | undefined {
	if (query.model !== undefined) {
		return record.entry.kind === 'engine' ? record.adaptersByModel.get(query.model) : undefined;
	}

	return record.entry.kind === 'service' && record.entry.service === query.service ? new Set() : undefined;
}

function getEntry(record: TargetRecord): DirectoryEntry {
	return {...record.entry, handle: record.handle, warmth: record.warmth};
}

/** Orders warm targets first, then by load, then by handle for a total order. */
function compareForSpillover(first: TargetRecord, second: TargetRecord): number {
	const getLoad = (record: TargetRecord): number => record.getOutstanding() / record.entry.load.limit;
	return Number(first.isCold()) - Number(second.isCold()) || getLoad(first) - getLoad(second) || first.handle - second.handle;
}

/** The targets known to one host, from their announcements, the directory hosts of its zone and the summaries of other zones. */
export class TargetDirectory {
	private readonly clock: Clock;
	private readonly epoch: string;
	private readonly records = new Map<string, TargetRecord>();
	private readonly digestSources = new Map<string, DigestSource>();
	private readonly summaries = new Map<string, {summary: ZoneSummary; receivedAtMs: number}>();
	private tombstones: readonly Tombstone[] = [];
	private droppedTombstoneSeq = 0;
	private seq = 0;
	private nextHandle = 0;

	/** The epoch identifies this instance of the directory, so that readers detect when its handles start again from 0. */
	constructor(opts: {clock: Clock; epoch: string}) {
		this.clock = opts.clock;
		this.epoch = opts.epoch;
	}

	/** Records an announcement from the target itself, or a relayed one with its age. */
	recordAnnouncement(announcement: Announcement, ageMs = 0): void {
		const {cacheEvents, ...entry} = announcement;
		this.accept(entry, 'target', this.clock.now() - ageMs);
	}

	/** Applies a directory host's digest; returns false if a full digest is required. */
	recordDigest(sourceHostId: string, digest: DirectoryDigest, ageMs = 0): boolean {
		const known = this.digestSources.get(sourceHostId);
		if (!digest.full && known?.position.epoch !== digest.epoch) {
			this.digestSources.delete(sourceHostId);
			return false;
		}

		if (!digest.full && known && digest.seq < known.position.seq) {
			return true;
		}

		const sampledAtMs = this.clock.now() - ageMs;
		const targets = new Map<number, StartKey>(digest.full ? [] : known?.targets);
		for (const handle of digest.removed) {
			this.removeListing(sourceHostId, targets.get(handle));
			targets.delete(handle);
		}

		for (const entry of digest.entries) {
			targets.set(entry.handle, {targetId: entry.targetId, startId: entry.startId});
			this.acceptEntry(entry, 'directory', sampledAtMs);
		}

		for (const change of digest.loads) {
			this.applyLoad(targets.get(change[0]), change, sampledAtMs);
		}

		if (!this.refresh(targets, sampledAtMs)) {
			this.digestSources.delete(sourceHostId);
			return false;
		}

		this.digestSources.set(sourceHostId, {position: {epoch: digest.epoch, seq: digest.seq}, targets});
		return true;
	}

	/** Returns this host's position in the changes of a directory host. */
	getDigestPosition(sourceHostId: string): DigestPosition | undefined {
		return this.digestSources.get(sourceHostId)?.position;
	}

	/** Records the summary of another zone; its targets expire like announced ones. */
	recordSummary(summary: ZoneSummary, ageMs = 0): void {
		const sampledAtMs = this.clock.now() - ageMs;
		this.summaries.set(summary.zone, {summary, receivedAtMs: sampledAtMs});
		for (const entry of summary.targets) {
			this.acceptEntry(entry, 'summary', sampledAtMs);
		}
	}

	/** Returns the last live summary of another zone. */
	getSummary(zone: string): ZoneSummary | undefined {
		const known = this.summaries.get(zone);
		return known && this.clock.now() - known.receivedAtMs <= ANNOUNCE_TTL_MS ? known.summary : undefined;
	}

	/** Records a request that is about to be sent to a target. */
	startRequest(targetId: string, startId: string): OwnRequest | undefined {
		const record = this.getRecord(targetId, startId);
		return record && {targetId, startId, id: record.ownRequests.start(this.clock.now())};
	}

	/** Records the end of a request; requests to an earlier start have ended with it. */
	endRequest(request: OwnRequest): void {
		this.getRecord(request.targetId, request.startId)?.ownRequests.end(request.id, this.clock.now());
	}

	/** Excludes a target for a short time on this host only after a failed connect. */
	recordConnectFailure(targetId: string, startId: string): void {
		this.getRecord(targetId, startId)?.recordConnectFailure(this.clock.now());
	}

	/** Ends a target's exclusion after a successful connect. */
	recordConnectSuccess(targetId: string, startId: string): void {
		this.getRecord(targetId, startId)?.clearSuspicion();
	}

	/** Records the state of a start's cold-start ramp from the zone owner. */
	recordWarmth(targetId: string, startId: string, warmth: Warmth): void {
		const record = this.getRecord(targetId, startId);
		if (record) {
			record.warmth = getNewerWarmth(record.warmth, warmth);
			this.markChanges(record);
		}
	}

	/** Returns the entry of one start of a target if it is live. */
	getEntry(targetId: string, startId: string): DirectoryEntry | undefined {
		this.expire();
		const record = this.getRecord(targetId, startId);
		return record && getEntry(record);
	}

	/** Returns every live target, for placement and the zone owner. */
	getTargets(): readonly LiveTarget[] {
		this.expire();
		const nowMs = this.clock.now();
		return [...this.records.values()].map(record => ({entry: getEntry(record), ageMs: nowMs - record.sampledAtMs, source: record.source}));
	}

	/** Returns the changes since a reader's position, or everything if that position is unknown. */
	getDigest(position?: DigestPosition): DirectoryDigest {
		this.expire();
		const full = position?.epoch !== this.epoch || position.seq < this.droppedTombstoneSeq || position.seq > this.seq;
		const sinceSeq = full ? 0 : position.seq;
		const entries: DirectoryEntry[] = [];
		const loads: LoadChange[] = [];
		// Relaying entries of other directories would let two directories keep a dead target alive.
		for (const record of this.getAnnounced()) {
			if (full || record.contentSeq > sinceSeq) {
				entries.push(getEntry(record));
			} else if (record.loadSeq > sinceSeq) {
				loads.push(getLoadChange(record.handle, record.entry.load));
			}
		}

		const removed = full ? [] : this.tombstones.filter(tombstone => tombstone.seq > sinceSeq).map(tombstone => tombstone.handle);
		return {
			epoch: this.epoch, seq: this.seq, full, entries, loads, removed,
		};
	}

	/** Returns the bounded summary of a zone for other zones. */
	getZoneSummary(zone: string): ZoneSummary {
		this.expire();
		const models = new Map<string, ModelSummary>();
		const accepting = [...this.records.values()].filter(record => record.entry.zone === zone && record.source !== 'summary' && !record.entry.leaving);
		for (const record of accepting) {
			const freeSlots = record.isCold() ? 0 : Math.max(0, record.entry.load.limit - record.getOutstanding());
			for (const model of record.adaptersByModel.keys()) {
				const known = models.get(model) ?? {model, copies: 0, freeSlots: 0};
				models.set(model, {model, copies: known.copies + 1, freeSlots: known.freeSlots + freeSlots});
			}
		}

		// Cold targets come last but are included: a model whose only copy is cold must stay reachable from other zones.
		const targets = accepting
			.toSorted((first, second) => compareForSpillover(first, second))
			.slice(0, MAX_SUMMARY_TARGETS)
			.map(record => getEntry(record));
		return {zone, models: [...models.values()].slice(0, MAX_SUMMARY_MODELS), targets};
	}

	/** Returns the targets that meet the requirements of a request and accept new requests. */
	getCandidates(query: CandidateQuery): CandidateSet {
		this.expire();
		const nowMs = this.clock.now();
		const fleetFactor = this.getFleetFactor();
		const setAside: ExclusionCounts = {leaving: 0, takenOut: 0, cutOff: 0};
		const candidates: Candidate[] = [];
		for (const record of this.records.values()) {
			const adapters = getAdapters(record, query);
			if (!adapters) {
				continue;
			}

			const condition = query.zoneStates[record.entry.zone];
			if (record.entry.leaving) {
				setAside.leaving += 1;
			} else if (condition?.state === 'taken-out') {
				setAside.takenOut += 1;
			} else if (condition?.state === 'cut-off' || (!condition && record.entry.zone !== query.hostZone) || record.isStale(nowMs)) {
				setAside.cutOff += 1;
			} else {
				candidates.push({
					targetId: record.entry.targetId,
					startId: record.entry.startId,
					zone: record.entry.zone,
					address: record.entry.address,
					role: record.entry.role,
					load: record.entry.load,
					outstanding: record.getOutstanding(),
					expected: record.getExpectedLoad(fleetFactor),
					adapterResident: query.adapter === undefined || adapters.has(query.adapter),
					cold: record.isCold(),
					suspected: nowMs < record.suspectedUntilMs,
					distanceMs: record.entry.zone === query.hostZone ? 0 : (condition?.distanceMs ?? 0),
					zoneShare: getZoneShare(condition),
				});
			}
		}

		return {candidates, setAside};
	}

	/** Returns how many more requests the candidates can run, based on the lowest possible load; excess requests briefly queue at the target. */
	getFreeSlots(query: CandidateQuery): number {
		return this.getCandidates(query).candidates.reduce((sum, {targetId, load}) => sum + Math.max(0, load.limit - (this.records.get(targetId)?.getMinOutstanding() ?? 0)), 0);
	}

	private getRecord(targetId: string, startId: string): TargetRecord | undefined {
		const record = this.records.get(targetId);
		return record?.entry.startId === startId ? record : undefined;
	}

	private getAnnounced(): readonly TargetRecord[] {
		return [...this.records.values()].filter(record => record.isPublished);
	}

	/**
	 * Factor by which this host's requests since a report are scaled to estimate those of all hosts.
	 * This host's share of the requests in flight is known, but not whether other hosts chose the same target, so the
	 * factor is the square root, between no and full scaling.
	 */
	private getFleetFactor(): number {
		let reported = 0;
		let own = 0;
		for (const record of this.records.values()) {
			reported += record.entry.load.running + record.entry.load.waiting;
			own += record.getReportedOwnRequests();
		}

		return Math.min(MAX_FLEET_FACTOR, Math.max(1, Math.sqrt(reported / Math.max(1, own))));
	}

	private acceptEntry(received: DirectoryEntry, source: EntrySource, sampledAtMs: number): void {
		const {handle, warmth, ...entry} = received;
		this.accept(entry, source, sampledAtMs);
		this.recordWarmth(entry.targetId, entry.startId, warmth);
	}

	private accept(entry: ReportedEntry, source: EntrySource, sampledAtMs: number): void {
		if (this.clock.now() - sampledAtMs > ANNOUNCE_TTL_MS) {
			return;
		}

		const known = this.records.get(entry.targetId);
		if (known?.isOutdated(entry, sampledAtMs)) {
			return;
		}

		if (known) {
			known.update(entry, source, sampledAtMs);
			this.markChanges(known);
			return;
		}

		const record = new TargetRecord(this.nextHandle++, entry, source, sampledAtMs);
		this.records.set(entry.targetId, record);
		this.markChanges(record);
	}

	private markChanges(record: TargetRecord): void {
		if (record.markChanges(this.seq + 1)) {
			this.seq += 1;
		}
	}

	private applyLoad(key: StartKey | undefined, change: LoadChange, sampledAtMs: number): void {
		const record = key && this.getRecord(key.targetId, key.startId);
		if (!record || sampledAtMs < record.sampledAtMs) {
			return;
		}

		const [, running, waiting, kvSteps, prefilling] = change;
		const load = {
			running, waiting, limit: record.entry.load.limit, kvUsedRatio: Math.min(1, kvSteps / LOAD_STEPS), ...(prefilling !== undefined && {prefilling}),
		};
		record.update({...record.entry, load}, 'directory', sampledAtMs);
		this.markChanges(record);
	}

	/** Expires a target that a directory host removed, unless this host or another directory host still receives its announcements. */
	private removeListing(sourceHostId: string, key: StartKey | undefined): void {
		const record = key && this.getRecord(key.targetId, key.startId);
		const isListedElsewhere = [...this.digestSources].some(([hostId, source]) => hostId !== sourceHostId && [...source.targets.values()].some(other => other.targetId === key?.targetId));
		if (record && !isListedElsewhere) {
			record.lastSeenAtMs = record.announcedAtMs;
		}
	}

	/** Refreshes all targets of a digest source: those not listed in the digest are alive and unchanged. Returns false if one has expired here. */
	private refresh(targets: ReadonlyMap<number, StartKey>, sampledAtMs: number): boolean {
		let isComplete = true;
		for (const {targetId, startId} of targets.values()) {
			const record = this.records.get(targetId);
			if (!record) {
				isComplete = false;
			} else if (record.entry.startId === startId) {
				record.lastSeenAtMs = Math.max(record.lastSeenAtMs, sampledAtMs);
				if (record.source === 'directory') {
					record.sampledAtMs = Math.max(record.sampledAtMs, sampledAtMs);
				}
			}
		}

		return isComplete;
	}

	private expire(): void {
		const nowMs = this.clock.now();
		for (const [targetId, record] of this.records) {
			if (record.isPublished && nowMs - record.announcedAtMs > ANNOUNCE_TTL_MS) {
				record.isPublished = false;
				this.seq += 1;
				this.tombstones = [...this.tombstones, {handle: record.handle, seq: this.seq}];
			}

			if (nowMs - record.lastSeenAtMs > ANNOUNCE_TTL_MS) {
				this.records.delete(targetId);
			}
		}

		const excess = this.tombstones.length - MAX_TOMBSTONES;
		if (excess > 0) {
			this.droppedTombstoneSeq = this.tombstones[excess - 1]!.seq;
			this.tombstones = this.tombstones.slice(excess);
		}
	}
}
