import {expect} from 'chai';
import {pickControlHost} from '../../src/traffic/index.js';

const hosts = [{id: 'c1', zone: 'a'}, {id: 'c2', zone: 'b'}, {id: 'c3', zone: 'c'}];

/** Runs six sequential polls; a host that does not answer is skipped for the next two. */
function pickRepeatedly(leaderId: string | undefined, unresponsive: readonly string[], candidates: ReadonlyArray<{id: string; zone?: string}> = hosts): readonly unknown[] {
	const lastPollMs = new Map<string, number>();
	return [1, 2, 3, 4, 5, 6].map(nowMs => {
		const picked = pickControlHost({
			hosts: candidates, leaderId, zone: 'b', isResponsive: id => !unresponsive.includes(id) || nowMs - (lastPollMs.get(id) ?? -9) > 2, getLastPollMs: id => lastPollMs.get(id),
		});
		lastPollMs.set(picked ?? '', nowMs);
		return picked;
	});
}

describe('pickControlHost', () => {
	// Guards against an entry host that keeps polling a nearby control host that is cut off from the leader and serves an old configuration.
	it('polls the leader, and the other hosts in turn while it does not answer', () => {
		expect({
			leader: pickRepeatedly('c3', []),
			leaderSilent: pickRepeatedly('c3', ['c3']),
			leaderUnknown: pickRepeatedly(undefined, []),
			zoneCutOff: pickRepeatedly('c3', ['c1', 'c3']),
			allSilent: pickRepeatedly('c3', ['c1', 'c2', 'c3']),
		}).toMatchSnapshot();
	});

	// Guards against a host that starts in a cut-off zone and polls all control hosts except the only reachable one.
	it('polls every host in turn while most do not answer', () => {
		const picked = pickRepeatedly(undefined, ['c1', 'c3'], hosts.map(({id}) => ({id})));
		expect(picked.slice(0, 3)).to.include('c2');
		expect(picked).toMatchSnapshot();
	});
});
