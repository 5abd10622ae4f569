import {ConfigSource, createConfigIndex, type ConfigIndex} from '@egretrill/callers';
import {
	Announcement, type ConfigDocument, ManualClock, refuse,
} from '@egretrill/common';
import {TargetDirectory} from '@egretrill/engines';
import {PromiseCounters} from '@egretrill/monitor';
import {createLocalConfig} from '@egretrill/testkit';
import {expect} from 'chai';
import {PromiseAudit} from '../src/monitor/promise-audit.js';

class FixedConfig extends ConfigSource {
	ageMs = 0;
	private readonly index: ConfigIndex;

	constructor(readonly document: ConfigDocument) {
		super();
		this.index = createConfigIndex(document);
	}

	override getIndex(): ConfigIndex {
		return this.index;
	}

	override getAgeMs(): number {
		return this.ageMs;
	}
}

function createTarget(fields: Partial<Announcement> = {}): Announcement {
	return Announcement.parse({
		targetId: 'engine-a', startId: 'start-1', zone: 'zone-a', address: '127.0.0.1:1', kind: 'engine', role: 'mixed', honoursFencing: true, memoryMb: 24_000,
		load: {
			running: 0, waiting: 0, limit: 8, kvUsedRatio: 0,
		},
		resident: [{model: 'inscription', version: 'v1', adapters: ['plaque']}],
		leaving: false,
		cold: false,
		...fields,
	});
}

function createAudit(target: Announcement, change: (document: ConfigDocument) => ConfigDocument = document => document) {
	const config = new FixedConfig(change(createLocalConfig(['zone-a', 'zone-b'])));
	const directory = new TargetDirectory({clock: new ManualClock(), epoch: 'epoch'});
	directory.recordAnnouncement(target);
	directory.recordWarmth(target.targetId, target.startId, {generation: 0, warm: !target.cold});
	const counters = new PromiseCounters();
	const audit = new PromiseAudit({counters, config, directory});
	const [key] = config.document.keys;
	const send = {
		requestId: 'request-1', customer: key!.customer, keyDigest: key!.digest, targetId: target.targetId, startId: target.startId, isIdempotent: true, isResume: false, hasPermit: false,
	};
	return {
		audit, config, send,
		getCounts: () => counters.getCounts().filter(({counted}) => counted > 0).map(({promise, counted, broken, lastBreach}) => ({
			promise, counted, broken, ...(lastBreach !== undefined && {lastBreach}),
		})),
	};
}

const refused = refuse(503, 'no-target', 'No target.');
const bucket = {customer: 'yard', level: {tokens: 60_000, requests: 1000}};

describe('audit of the promises', () => {
	it('counts the promises that were held', () => {
		const {audit, send, getCounts} = createAudit(createTarget({cold: true}));
		audit.checkVersion(1);
		audit.checkVersion(2);
		audit.checkSend({...send, isIdempotent: false, hasPermit: true});
		audit.checkEnd('request-1', 'completed');
		audit.checkSend({...send, requestId: 'request-2', hasPermit: true});
		audit.recordUnsent('request-2');
		audit.checkEnd('request-2', refused);
		audit.checkBuckets([{...bucket, outstanding: {tokens: 40_000, requests: 1000}}]);
		audit.checkPlacement('zone-a');
		audit.checkStop({
			reason: 'SIGTERM', outcome: 'complete', left: [], tookMs: 10, exitCode: 0,
		});
		expect(getCounts()).toMatchSnapshot();
	});

	// Guards against an audit that reports every promise as held in all cases.
	it('detects a breach of each promise', () => {
		const {audit, config, send, getCounts} = createAudit(createTarget({
			cold: true, leaving: true, memoryMb: 20_000,
		}), document => ({
			...document,
			zones: document.zones.map(zone => zone.id === 'zone-a' ? {...zone, state: 'taken-out'} : zone),
			models: [...document.models, {...document.models[0]!, id: 'too-large', memoryMb: 80_000}],
		}));
		audit.checkVersion(2);
		audit.checkVersion(1);
		audit.checkSend({...send, isIdempotent: false});
		audit.checkSend({...send, isIdempotent: false, customer: 'port'});
		audit.checkEnd('request-1', refused);
		config.ageMs = 4001;
		audit.checkSend({...send, requestId: 'request-2'});
		audit.checkBuckets([{...bucket, outstanding: {tokens: 40_001, requests: 1000}}]);
		audit.checkPlacement('zone-a');
		audit.checkStop({
			reason: 'SIGTERM', outcome: 'deadline', left: [{kind: 'request', count: 2}], tookMs: 30_000, exitCode: 1,
		});
		expect(getCounts()).toMatchSnapshot();
	});
});
