import {createCodec, ManualClock} from '@egretrill/common';
import {expect} from 'chai';
import {DirectoryDigest, TargetDirectory, ZoneSummary} from '../../src/routing/index.js';
import {announce, announceWarm, query} from './helpers.js';

function createDirectory(clock: ManualClock, epoch = 'e1'): TargetDirectory {
	return new TargetDirectory({clock, epoch});
}

function getOutstanding(directory: TargetDirectory): Record<string, number> {
	return Object.fromEntries(directory.getCandidates(query).candidates.map(candidate => [`${candidate.targetId}/${candidate.startId}`, candidate.outstanding]));
}

describe('TargetDirectory', () => {
	it('drops silent targets after 2,000 ms and counts the age of relayed announcements', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		directory.recordAnnouncement(announce('t1'));
		directory.recordAnnouncement(announce('t2'), 1500);
		const seen = [getOutstanding(directory)];
		clock.advance(501);
		seen.push(getOutstanding(directory));
		clock.advance(1500);
		seen.push(getOutstanding(directory));
		expect(seen).toMatchSnapshot();
	});

	it('does not revive an earlier start at the same address when its report is delayed', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		directory.recordAnnouncement(announce('t1', {load: {running: 9}}));
		const request = directory.startRequest('t1', 't1-s1');
		clock.advance(300);
		directory.recordAnnouncement(announce('t1', {startId: 't1-s2'}));
		const restarted = getOutstanding(directory);
		directory.recordAnnouncement(announce('t1', {load: {running: 9}}));
		directory.endRequest(request!);
		expect({restarted, afterLateReport: getOutstanding(directory)}).toMatchSnapshot();
	});

	it('ignores a relayed report of an unknown start that is older than the current one', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		clock.advance(5000);
		directory.recordAnnouncement(announce('t1', {startId: 't1-s2'}));
		directory.recordAnnouncement(announce('t1'), 1200);
		expect(Object.keys(getOutstanding(directory))).to.deep.equal(['t1/t1-s2']);
	});

	it('sends a leaving target no new requests, even if a later report omits the flag', () => {
		const directory = createDirectory(new ManualClock());
		directory.recordAnnouncement(announce('t1', {leaving: true}));
		directory.recordAnnouncement(announce('t1'));
		expect(directory.getCandidates(query)).to.deep.equal({candidates: [], setAside: {leaving: 1, takenOut: 0, cutOff: 0}});
	});

	// Guards against requests that wait for a report although the target has free slots, because the requests of one announcement period are counted twice.
	it('counts requests once for the free slots, regardless of when the report was sampled', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		announceWarm(directory, announce('t1'));
		const sampled = new Map<string, number>();
		for (let running = 1; running <= 10; running++) {
			directory.startRequest('t1', 't1-s1');
			clock.advance(50);
			sampled.set(running === 5 ? 'early' : 'late', running);
		}

		const others = 2;
		const seen = [...sampled].map(([sample, own]) => {
			directory.recordAnnouncement(announce('t1', {load: {running: own + others}}));
			return {sample, freeSlots: directory.getFreeSlots(query), outstanding: getOutstanding(directory)};
		});
		expect(seen).toMatchSnapshot();
	});

	// Guards against new requests to a target in another zone that started leaving after the last summary, while the next summary is late.
	it('sends a target of another zone no new requests if the information is too old to include its leave', () => {
		const clock = new ManualClock();
		const [near, far] = [createDirectory(clock), createDirectory(clock, 'e2')];
		far.recordAnnouncement(announce('t1', {zone: 'b'}));
		near.recordSummary(far.getZoneSummary('b'));
		far.recordAnnouncement(announce('t1', {zone: 'b', leaving: true}));
		clock.advance(1500);
		const seen = [getOutstanding(near)];
		clock.advance(1);
		seen.push(getOutstanding(near));
		near.recordSummary(createDirectory(clock).getZoneSummary('b'));
		const isKnown = near.getEntry('t1', 't1-s1') !== undefined;
		expect({seen, isKnown}).to.deep.equal({seen: [{'t1/t1-s1': 0}, {}], isKnown: true});
	});

	it('corrects a delayed report by own requests started and ended since, without counting them twice', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		const counts: number[] = [];
		const step = (advanceMs: number, running?: number): void => {
			clock.advance(advanceMs);
			if (running !== undefined) {
				directory.recordAnnouncement(announce('t1', {load: {running}}));
			}

			counts.push(getOutstanding(directory)['t1/t1-s1']!);
		};

		step(0, 2);
		const first = directory.startRequest('t1', 't1-s1')!;
		const second = directory.startRequest('t1', 't1-s1')!;
		step(500, 2);
		step(501, 4);
		directory.endRequest(first);
		directory.endRequest(second);
		step(100);
		step(700, 2);
		expect(counts).to.deep.equal([2, 4, 4, 2, 2]);
	});

	it('limits a connect failure to this host, for a short time that doubles and ends on success', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		const isSuspected = (): boolean => {
			directory.recordAnnouncement(announce('t1'));
			return directory.getCandidates(query).candidates[0]!.suspected;
		};

		directory.recordAnnouncement(announce('t1'));
		const before = directory.getDigest().seq;
		directory.recordConnectFailure('t1', 't1-s1');
		const seen = [isSuspected()];
		clock.advance(500);
		seen.push(isSuspected());
		directory.recordConnectFailure('t1', 't1-s1');
		clock.advance(500);
		seen.push(isSuspected());
		directory.recordConnectSuccess('t1', 't1-s1');
		seen.push(isSuspected());
		expect(seen).to.deep.equal([true, false, true, false]);
		expect(directory.getDigest().seq).to.equal(before);
	});

	it('keeps a target whose announcements to this host are lost while a directory host receives them', () => {
		const clock = new ManualClock();
		const [near, far] = [createDirectory(clock), createDirectory(clock, 'e2')];
		near.recordAnnouncement(announce('t1'));
		for (let round = 0; round < 8; round++) {
			clock.advance(500);
			far.recordAnnouncement(announce('t1'));
			near.recordDigest('far', far.getDigest(near.getDigestPosition('far')));
		}

		expect(getOutstanding(near)).to.deep.equal({'t1/t1-s1': 0});
	});

	it('does not let two directory hosts keep a dead target alive for each other', () => {
		const clock = new ManualClock();
		const [first, second] = [createDirectory(clock), createDirectory(clock, 'e2')];
		for (const directory of [first, second]) {
			directory.recordAnnouncement(announce('t1'));
		}

		for (let round = 0; round < 12; round++) {
			clock.advance(500);
			first.recordDigest('second', second.getDigest(first.getDigestPosition('second')));
			second.recordDigest('first', first.getDigest(second.getDigestPosition('first')));
		}

		expect([first, second].map(directory => getOutstanding(directory))).to.deep.equal([{}, {}]);
	});

	it('keeps a target that one directory host loses while the other still receives its announcements', () => {
		const clock = new ManualClock();
		const [near, far, reader] = [createDirectory(clock), createDirectory(clock, 'e2'), createDirectory(clock, 'e3')];
		for (const directory of [near, far]) {
			directory.recordAnnouncement(announce('t1'));
		}

		const seen: unknown[] = [];
		for (let round = 0; round < 12; round++) {
			reader.recordDigest('near', near.getDigest(reader.getDigestPosition('near')));
			reader.recordDigest('far', far.getDigest(reader.getDigestPosition('far')));
			seen.push(Object.keys(getOutstanding(reader)).length);
			clock.advance(500);
			if (round < 5) {
				far.recordAnnouncement(announce('t1'));
			}
		}

		expect(seen).to.deep.equal([1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]);
	});

	it('sends only removals and changed targets in a digest, about 10 bytes each', () => {
		const clock = new ManualClock();
		const [source, reader] = [createDirectory(clock), createDirectory(clock, 'e2')];
		const codec = createCodec(DirectoryDigest);
		const exchanges: unknown[] = [];
		const exchange = (): void => {
			const digest = source.getDigest(reader.getDigestPosition('source'));
			const bytes = codec.encode(digest);
			reader.recordDigest('source', codec.decode(bytes));
			exchanges.push({
				full: digest.full, entries: digest.entries.length, loads: digest.loads, removed: digest.removed.length, bytes: bytes.length,
			});
		};

		const announceAll = (running: number): void => {
			for (let index = 0; index < 148; index++) {
				source.recordAnnouncement(announce(`t${index}`, {load: {running: index < 3 ? running : 0, limit: 64}}));
			}
		};

		announceAll(0);
		exchange();
		announceAll(1);
		exchange();
		announceAll(17);
		exchange();
		clock.advance(1900);
		source.recordAnnouncement(announce('t2', {load: {running: 17, limit: 64}}));
		source.recordAnnouncement(announce('t9', {leaving: true, load: {limit: 64}}));
		exchange();
		clock.advance(200);
		exchange();
		expect({exchanges, left: Object.keys(getOutstanding(reader)), leaving: reader.getCandidates(query).setAside.leaving}).toMatchSnapshot();
	});

	it('requests a full digest when the source has restarted or a target has expired here', () => {
		const clock = new ManualClock();
		const reader = createDirectory(clock, 'reader');
		const source = createDirectory(clock);
		source.recordAnnouncement(announce('t1'));
		reader.recordDigest('source', source.getDigest());
		const restarted = createDirectory(clock, 'e2');
		restarted.recordAnnouncement(announce('t2'));
		const accepted = [reader.recordDigest('source', {...restarted.getDigest(), full: false})];
		accepted.push(reader.recordDigest('source', restarted.getDigest(reader.getDigestPosition('source'))));
		clock.advance(2100);
		reader.getTargets();
		restarted.recordAnnouncement(announce('t2'));
		accepted.push(
			reader.recordDigest('source', restarted.getDigest(reader.getDigestPosition('source'))),
			reader.recordDigest('source', restarted.getDigest(reader.getDigestPosition('source'))),
		);
		expect({accepted, known: getOutstanding(reader)}).to.deep.equal({accepted: [false, true, false, true], known: {'t2/t2-s1': 0}});
	});

	it('limits the size of the summary that provides spill-over candidates to other zones', () => {
		const clock = new ManualClock();
		const [remote, local] = [createDirectory(clock), createDirectory(clock, 'e2')];
		for (let index = 0; index < 148; index++) {
			announceWarm(remote, announce(`t${index}`, {zone: 'b', load: {running: index % 16}}));
		}

		remote.recordAnnouncement(announce('fresh', {zone: 'b'}));
		const codec = createCodec(ZoneSummary);
		const bytes = codec.encode(remote.getZoneSummary('b'));
		local.recordSummary(codec.decode(bytes));
		const {candidates} = local.getCandidates(query);
		expect({
			bytes: bytes.length, models: local.getSummary('b')!.models, count: candidates.length, first: candidates[0], cold: candidates.filter(candidate => candidate.cold).length,
		}).toMatchSnapshot();
	});

	it('applies the zone states: no requests to taken-out and cut-off zones, a growing share to returning ones', () => {
		const clock = new ManualClock();
		const directory = createDirectory(clock);
		announceWarm(directory, announce('t1'), announce('t2', {zone: 'b'}), announce('t3', {zone: 'c'}));
		const {candidates, setAside} = directory.getCandidates({
			...query, zoneStates: {a: {state: 'taken-out'}, b: {state: 'cut-off'}, c: {state: 'returning', sinceMs: 2500, distanceMs: 1}},
		});
		expect({shares: candidates.map(candidate => [candidate.targetId, candidate.zoneShare]), setAside}).toMatchSnapshot();
	});

	it('requires a new ramp when a warm target reports the cold flag without a restart', () => {
		const directory = createDirectory(new ManualClock());
		announceWarm(directory, announce('t1'));
		const seen = [directory.getCandidates(query).candidates[0]!.cold];
		directory.recordAnnouncement(announce('t1', {cold: true}));
		directory.recordAnnouncement(announce('t1'));
		directory.recordWarmth('t1', 't1-s1', {generation: 0, warm: true});
		seen.push(directory.getCandidates(query).candidates[0]!.cold);
		directory.recordWarmth('t1', 't1-s1', {generation: 1, warm: true});
		seen.push(directory.getCandidates(query).candidates[0]!.cold);
		expect(seen).to.deep.equal([false, true, false]);
	});
});
