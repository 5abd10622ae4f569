import {expect} from 'chai';
import {pickControlHost} from '../../src/traffic/index.js';

const hosts = [{id: 'c1', zone: 'a'}, {id: 'c2', zone: 'b'}, {id: 'c3', zone: 'c'}];

/** Plays polls one after the other; a host that does not answer is passed over for the next two. */
function pickSeveral(leaderId: string | undefined, silent: readonly string[], known: ReadonlyArray<{id: string; zone?: string}> = hosts): readonly unknown[] {
	const askedMs = new Map<string, number>();
	return [1, 2, 3, 4, 5, 6].map(nowMs => {
		const picked = pickControlHost({
			hosts: known, leaderId, zone: 'b', isResponsive: id => !silent.includes(id) || nowMs - (askedMs.get(id) ?? -9) > 2, getLastPollMs: id => askedMs.get(id),
		});
		askedMs.set(picked ?? '', nowMs);
		return picked;
	});
}

describe('pickControlHost', () => {
	// Guards against an entry host that stays with a near control host which has lost the leader and serves an old configuration.
	it('polls the leader, and the others in turn while it does not answer', () => {
		expect({
			leader: pickSeveral('c3', []),
			leaderSilent: pickSeveral('c3', ['c3']),
			leaderUnknown: pickSeveral(undefined, []),
			zoneCutOff: pickSeveral('c3', ['c1', 'c3']),
			allSilent: pickSeveral('c3', ['c1', 'c2', 'c3']),
		}).toMatchSnapshot();
	});

	// Guards against a host that starts in a zone which is cut off and asks everyone but the one control host that it reaches.
	it('asks every host in turn while most do not answer', () => {
		const picked = pickSeveral(undefined, ['c1', 'c3'], hosts.map(({id}) => ({id})));
		expect(picked.slice(0, 3)).to.include('c2');
		expect(picked).toMatchSnapshot();
	});
});
