import {answerCrashReport, decodeShareRequest, encodeShareAnswer} from '@egretrill/callers';
import {getComponentLogger} from '@egretrill/common';
import {
	bindConsensus, bindFleetLog, bindFollowMethod, bindMethod, type MethodHandler, zoneLeaseMethod,
} from '@egretrill/hosts';
import type {Container} from 'inversify';
import {NotLeaderError} from './hosts/leader-duties.js';
import {
	adapterLoadMethod, announceMethod,
	coldPermitMethod, coldReleaseMethod, coldRenewMethod, coldReportMethod, crashMethod, demandMethod, digestMethod, drainMethod, explainMethod, hostStatusMethod, inForceMethod,
	loadPermitMethod, loadReleaseMethod, shareMethod, summaryMethod, withdrawalMethod,
} from './methods.js';
import {tokens, type Voter} from './tokens.js';

function bindDirectoryMethods(container: Container): readonly MethodHandler[] {
	const directory = container.get(tokens.directory);
	const sync = container.get(tokens.directorySync);
	const settings = container.get(tokens.settings);
	return [
		bindMethod(digestMethod, async ({position}) => ({digest: directory.getDigest(position), owner: sync.getZoneOwner(settings.zone)})),
		bindMethod(summaryMethod, async ({zone}) => ({summary: directory.getZoneSummary(zone), owner: sync.getZoneOwner(zone)})),
		bindMethod(announceMethod, async ({announcement}) => {
			sync.recordAnnouncement(announcement);
			return {};
		}),
	];
}

function bindZoneMethods(container: Container): readonly MethodHandler[] {
	const duties = container.get(tokens.zoneDuties);
	return [
		bindMethod(coldPermitMethod, async req => duties.getRamp().requestPermit(req)),
		bindMethod(coldReleaseMethod, async release => {
			duties.getRamp().releasePermit(release);
			return {};
		}),
		bindMethod(coldRenewMethod, async renewal => {
			duties.getRamp().renewPermits(renewal);
			return {};
		}),
		bindMethod(coldReportMethod, async report => {
			duties.getRamp().reportCold(report);
			return {};
		}),
		bindMethod(demandMethod, async ({hostId, reports}) => {
			duties.recordDemand(hostId, reports);
			return {};
		}),
		bindMethod(adapterLoadMethod, async req => duties.loadAdapter(req)),
		bindMethod(explainMethod, async ({model}) => duties.explain(model)),
	];
}

function bindLeaderMethods(container: Container, {node, duties}: Voter): readonly MethodHandler[] {
	const clock = container.get(tokens.clock);
	const reports = container.get(tokens.reports);
	return [
		...bindConsensus(node),
		bindFleetLog(node),
		bindMethod(shareMethod, async req => {
			const {buckets} = duties.getTermState();
			const shareReq = decodeShareRequest(req);
			const answer = buckets.grant(shareReq);
			if (answer.isErr) {
				throw new NotLeaderError(answer.error);
			}

			container.get(tokens.audit).checkBuckets(buckets.getStatus(shareReq.customers.map(({customer}) => customer)));

			return encodeShareAnswer(answer.value);
		}),
		bindMethod(zoneLeaseMethod, async ({zone, host}) => {
			const answer = await duties.getTermState().leases.request(zone, host);
			if (!answer) {
				throw new NotLeaderError('The lease could not be granted.');
			}

			return answer;
		}),
		bindMethod(crashMethod, async report => {
			// Throws unless this host leads.
			duties.getTermState();
			const crashes = container.get(tokens.crashes);
			crashes.mergeReport(report.records);
			// Wakes the long polls of other hosts, so that a new block reaches them without delay.
			container.get(tokens.versionedConfig).changed.notify();
			return answerCrashReport(crashes, report, await container.get(tokens.crashLog)?.grantProbes(report) ?? []);
		}),
		bindMethod(loadPermitMethod, async req => duties.getTermState().loads.requestPermit(req, clock.now())),
		bindMethod(loadReleaseMethod, async ({permitId}) => {
			duties.getTermState().loads.releasePermit(permitId);
			return {};
		}),
		bindMethod(withdrawalMethod, async ({keyId}) => {
			const state = duties.getTermState().withdrawals.getState(keyId);
			return state
				? {...state, waitingFor: [...state.waitingFor], isKnown: true}
				: {
					isKnown: false, isInForce: false, version: 0, waitingFor: [],
				};
		}),
		bindMethod(inForceMethod, async () => {
			duties.getTermState();
			return {versions: Object.fromEntries(reports.getAll())};
		}),
	];
}

/** Handlers of all RPC methods that this host serves to its peers. */
export function createHandlers(container: Container, onDrain: (author: string) => void, getUnreadyReasons: () => readonly string[]): readonly MethodHandler[] {
	const voter = container.get(tokens.voter);
	return [
		bindFollowMethod({
			hostId: container.get(tokens.settings).host,
			fleet: container.get(tokens.settings).fleet,
			clock: container.get(tokens.clock),
			logger: getComponentLogger(container.get(tokens.logger), 'hosts'),
			source: container.get(tokens.versionedConfig),
			reports: container.get(tokens.reports),
			listCrashes: () => container.get(tokens.crashes).listRecords(),
		}),
		...bindDirectoryMethods(container),
		...bindZoneMethods(container),
		...(voter ? bindLeaderMethods(container, voter) : []),
		bindMethod(drainMethod, async ({author}) => {
			onDrain(author);
			return {};
		}),
		bindMethod(hostStatusMethod, async () => {
			const reasons = getUnreadyReasons();
			return {ready: reasons.length === 0, reasons: [...reasons], ...(voter && {votes: ['leader', 'follower'].includes(voter.node.status().role)})};
		}),
	];
}
