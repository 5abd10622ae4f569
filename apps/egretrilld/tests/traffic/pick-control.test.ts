import {expect} from 'chai';
import {pickControl} from '../../src/traffic/index.js';

const hosts = [{id: 'c1', zone: 'a'}, {id: 'c2', zone: 'b'}, {id: 'c3', zone: 'c'}];

function pickSeveral(leaderId: string | undefined, silent: readonly string[]): readonly unknown[] {
	return [0, 1, 2, 3].map(turn => pickControl({
		hosts, leaderId, zone: 'b', isTrusted: id => !silent.includes(id), turn,
	}));
}

describe('pickControl', () => {
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
});
