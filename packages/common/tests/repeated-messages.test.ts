import {expect} from 'chai';
import {Result} from 'true-myth';
import {RepeatedMessages} from '@egretrill/common';

type Heartbeat = {readonly sequence: number; readonly slots: number};

describe('RepeatedMessages', () => {
	// Guards against the cost of a full validation for each heartbeat, and against content or sequences that are not validated because an earlier message was valid.
	it('validates a message in full only if more than its sequence has changed', () => {
		let parsed = 0;
		const messages = new RepeatedMessages<Heartbeat>(message => {
			parsed += 1;
			const {slots} = message as Heartbeat;
			return slots > 0 ? Result.ok(message as Heartbeat) : Result.err([]);
		});
		const read = (sender: string, message: unknown): string => {
			const answer = messages.read(sender, message);
			return `${answer.isOk ? JSON.stringify(answer.value) : 'invalid'} after ${parsed}`;
		};

		const deep: unknown = JSON.parse(`${'['.repeat(100_000)}${']'.repeat(100_000)}`);
		expect([
			read('a', {sequence: 1, slots: 1}),
			read('a', {slots: 1, sequence: 2}),
			read('b', {sequence: 2, slots: 1}),
			read('a', {sequence: 3, slots: 0}),
			read('a', {sequence: 4, slots: 1}),
			read('a', {sequence: 'x', slots: 1}),
			read('a', {sequence: 5, slots: 2}),
			read('a', {sequence: 6, slots: 2}),
			messages.read('a', {sequence: 7, slots: 2, deep}).isOk,
			read('a', {sequence: 8, slots: 0}),
		]).toMatchSnapshot();
	});

	// Guards against memory that grows with the number of senders.
	it('forgets the senders whose content was validated first', () => {
		let parsed = 0;
		const messages = new RepeatedMessages<Heartbeat>(message => {
			parsed += 1;
			return Result.ok(message as Heartbeat);
		});
		for (let i = 0; i <= 1024; i += 1) {
			messages.read(`s${i}`, {sequence: 1, slots: 1});
		}

		messages.read('s1024', {sequence: 2, slots: 1});
		messages.read('s0', {sequence: 2, slots: 1});
		expect(parsed).to.equal(1026);
	});
});
