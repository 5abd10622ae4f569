import {createCodec, type PeerHost, type TrafficSource} from '@egretrill/common';
import {DEPARTURE_RETENTION_MS, MAX_DEPARTURES} from './constants.js';
import {type DesiredMembership, StateMachine} from './consensus/state-machine.js';
import {applyOperation} from './fleet-state-operations.js';
import {
	acceptEngines, confirmUsage, orderEngines, settleUsage,
} from './fleet-state-duties.js';
import {
	applyOutcome, applyRecord, applyRelease, createRecordTable, findRecord, type RecordKey,
} from './fleet-state-records.js';
import {
	type AtMostOnceRecord, type ConfigUpdate, type EngineCount, FleetCommand, type FleetCommandOf, type FleetConfig, type FleetResult, FleetSnapshot, type StoredCrash, type TargetDeparture, type UsageState, type ZoneLease,
} from './types.js';

const commandCodec = createCodec(FleetCommand);
const snapshotCodec = createCodec(FleetSnapshot);

type Transition = {readonly state: FleetSnapshot; readonly result: FleetResult};

const EMPTY_STATE: FleetSnapshot = {
	config: {version: 0, digest: '', author: ''},
	changes: [],
	answers: [],
	records: createRecordTable(),
	leases: {},
	members: [],
	zonesOut: [],
	zoneOrders: {},
	entryHosts: [],
	departures: [],
	crashes: [],
	usage: {settledThrough: -1, unconfirmed: []},
	engineCounts: [],
	logTimeMs: 0,
};

function grantLease(state: FleetSnapshot, command: FleetCommandOf<'grantLease'>): Transition {
	const {zone, host} = command;
	const currentLease = Object.hasOwn(state.leases, zone) ? state.leases[zone] : undefined;
	const lease = currentLease?.host === host ? currentLease : {host, epoch: (currentLease?.epoch ?? 0) + 1};
	return {state: {...state, leases: {...state.leases, [zone]: lease}}, result: {kind: 'lease', ...lease}};
}

function putTraffic(state: FleetSnapshot, {traffic}: FleetCommandOf<'putTraffic'>): Transition {
	const newestTraffic = state.traffic !== undefined && state.traffic.version >= traffic.version ? state.traffic : traffic;
	return {state: {...state, traffic: newestTraffic}, result: {kind: 'traffic', version: newestTraffic.version}};
}

function countZoneOrders({zoneOrders}: FleetSnapshot, zone: string): number {
	return (Object.hasOwn(zoneOrders, zone) ? zoneOrders[zone] : undefined) ?? 0;
}

/**
 * Applies an order for a zone unless another one was applied after it was given: it may have been stuck in a connection or a suspended host since. An equal
 * order also counts as one, since its caller relies on it as on the first. A repetition of an applied order finds the zone as it wants it.
 * An order that follows none is one of an older build. It is always applied and never counted, since the snapshots of that build don't count it either.
 */
function setZoneService(state: FleetSnapshot, {zone, isInService, follows}: FleetCommandOf<'setZoneService'>): Transition {
	const orders = countZoneOrders(state, zone);
	if (follows !== undefined && follows < orders) {
		return state.zonesOut.includes(zone) === isInService
			? {state, result: {kind: 'refused', code: 'overtaken', message: 'Another order for the zone was applied after this one was given.'}}
			: {state, result: {kind: 'zone-service', zonesOut: state.zonesOut}};
	}

	const others = state.zonesOut.filter(other => other !== zone);
	const zonesOut = isInService ? others : [...others, zone];
	const zoneOrders = follows === undefined ? state.zoneOrders : {...state.zoneOrders, [zone]: orders + 1};
	return {state: {...state, zonesOut, zoneOrders}, result: {kind: 'zone-service', zonesOut}};
}

/** Keeps the departure of the latest process of each target for as long as a registration of it may be delayed. */
function recordDeparture(state: FleetSnapshot, {departure}: FleetCommandOf<'recordDeparture'>): Transition {
	const oldestMs = departure.leftAtMs - DEPARTURE_RETENTION_MS;
	const known = state.departures.find(({targetId}) => targetId === departure.targetId);
	const latest = known && known.startedAtMs > departure.startedAtMs ? known : departure;
	const others = state.departures.filter(({targetId, leftAtMs}) => targetId !== departure.targetId && leftAtMs >= oldestMs);
	return {state: {...state, departures: [...others, latest].slice(-MAX_DEPARTURES)}, result: {kind: 'departed'}};
}

/** Applies one command; pure and deterministic, so that all members reach the same state. */
export function applyFleetCommand(state: FleetSnapshot, command: FleetCommand): Transition {
	const stateAtLogTime = 'elapsedMs' in command ? {...state, logTimeMs: state.logTimeMs + command.elapsedMs} : state;
	switch (command.kind) {
		case 'record': {
			return applyRecord(stateAtLogTime, command);
		}

		case 'outcome': {
			return applyOutcome(stateAtLogTime, command);
		}

		case 'release': {
			return applyRelease(stateAtLogTime, command);
		}

		case 'grantLease': {
			return grantLease(stateAtLogTime, command);
		}

		case 'putTraffic': {
			return putTraffic(stateAtLogTime, command);
		}

		case 'setZoneService': {
			return setZoneService(stateAtLogTime, command);
		}

		case 'setEntryHosts': {
			const {hostIds} = command;
			return {state: {...stateAtLogTime, entryHosts: hostIds}, result: {kind: 'entry-hosts', hostIds}};
		}

		case 'recordDeparture': {
			return recordDeparture(stateAtLogTime, command);
		}

		case 'setCrashes': {
			return {state: {...stateAtLogTime, crashes: command.crashes}, result: {kind: 'crashes'}};
		}

		case 'settleUsage': {
			return settleUsage(stateAtLogTime, command);
		}

		case 'confirmUsage': {
			return confirmUsage(stateAtLogTime, command);
		}

		case 'orderEngines': {
			return orderEngines(stateAtLogTime, command);
		}

		case 'acceptEngines': {
			return acceptEngines(stateAtLogTime, command);
		}

		case 'apply':
		case 'withdrawKey':
		case 'setZoneState':
		case 'addMember':
		case 'removeMember': {
			return applyOperation(stateAtLogTime, command);
		}
	}
}

/** Replicated state of the fleet: configuration, at-most-once records, zone leases and desired members. */
export class FleetState extends StateMachine<FleetCommand, FleetResult> {
	private state = EMPTY_STATE;
	/** Time up to which this leader has assigned elapsed time to commands of its term. */
	private lastElapsedStamp: {readonly term: number; readonly ms: number} | undefined;

	/** Sets the elapsed time. A new leader starts at zero, so that records are retained too long rather than too short. */
	override prepare(command: FleetCommand, term: number, nowMs: number): FleetCommand {
		if (!('elapsedMs' in command)) {
			return command;
		}

		const startMs = this.lastElapsedStamp?.term === term ? this.lastElapsedStamp.ms : nowMs;
		const elapsedMs = Math.floor(nowMs - startMs);
		this.lastElapsedStamp = {term, ms: startMs + elapsedMs};
		return {...command, elapsedMs};
	}

	override isMemberRequest({kind}: FleetCommand): boolean {
		return kind === 'addMember' || kind === 'removeMember';
	}

	override getDesiredMemberships(): ReadonlyMap<string, DesiredMembership> {
		return new Map(this.state.members.map(member => [member.id, member.wish]));
	}

	encode(command: FleetCommand): Uint8Array {
		return commandCodec.encode(FleetCommand.parse(command));
	}

	apply(data: Uint8Array): FleetResult {
		const {state, result} = applyFleetCommand(this.state, commandCodec.decode(data));
		this.state = state;
		return result;
	}

	snapshot(): Uint8Array {
		return snapshotCodec.encode(this.state);
	}

	prepareRestore(data: Uint8Array): () => void {
		const state = snapshotCodec.decode(data);
		return () => {
			this.state = state;
		};
	}

	/** Returns the configuration that this member has applied. */
	getConfig(): FleetConfig {
		return this.state.config;
	}

	/** Returns the changes after the version, or the whole configuration if they are no longer retained. */
	getChangesSince(version: number): ConfigUpdate {
		const changes = this.state.changes.filter(change => change.version > version);
		const isComplete = version >= this.state.config.version || changes[0]?.version === version + 1;
		return isComplete ? {kind: 'changes', changes} : {kind: 'snapshot', config: this.state.config};
	}

	getZoneLease(zone: string): ZoneLease | undefined {
		return Object.hasOwn(this.state.leases, zone) ? this.state.leases[zone] : undefined;
	}

	/** Returns the last granted lease of every zone. */
	getZoneLeases(): Readonly<Record<string, ZoneLease>> {
		return this.state.leases;
	}

	getRecord(recordKey: RecordKey): AtMostOnceRecord | undefined {
		return findRecord(this.state, recordKey);
	}

	/** Returns the traffic configuration that this member has applied, as its author wrote it. */
	getTraffic(): TrafficSource | undefined {
		return this.state.traffic;
	}

	getZonesOut(): readonly string[] {
		return this.state.zonesOut;
	}

	/** Returns the number of applied orders for a zone. */
	getZoneOrderCount(zone: string): number {
		return countZoneOrders(this.state, zone);
	}

	/** Returns the entry hosts, each of which may hold a leased share of the rate limits. */
	getEntryHosts(): readonly string[] {
		return this.state.entryHosts;
	}

	/** Returns the processes of targets that left a short time ago; the list is replaced with each change. */
	getDepartures(): readonly TargetDeparture[] {
		return this.state.departures;
	}

	/** Returns the evidence on what ends targets; the list is replaced with each change. */
	getCrashes(): readonly StoredCrash[] {
		return this.state.crashes;
	}

	/** Returns the settled usage; it is replaced with each change. */
	getUsage(): UsageState {
		return this.state.usage;
	}

	/** Returns the last ordered engine counts. */
	getEngineCounts(): readonly EngineCount[] {
		return this.state.engineCounts;
	}

	/** Returns the hosts that operators added, with the addresses that the transport needs. */
	getAddedHosts(): readonly PeerHost[] {
		return this.state.members.flatMap(member => member.host ?? []);
	}
}
