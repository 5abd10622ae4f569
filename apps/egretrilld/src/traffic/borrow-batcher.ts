import type {RateAnswer} from '@egretrill/callers';
import type {RateLoan} from './methods.js';

type WaitingLoan = {
	readonly loan: RateLoan;
	readonly resolve: (answer: RateAnswer | undefined) => void;
	readonly reject: (err: unknown) => void;
};

/** Asks the leader for loans with one call at a time, which carries all that wait. Answers a busy leader: the longer it takes, the more loans a call brings. */
export class BorrowBatcher {
	private waiting: readonly WaitingLoan[] = [];
	private isAsking = false;

	/** Answers come in the order of the loans; undefined when the leader cannot be reached. */
	constructor(private readonly ask: (loans: readonly RateLoan[]) => Promise<readonly RateAnswer[] | undefined>) {}

	async borrow(loan: RateLoan): Promise<RateAnswer | undefined> {
		return new Promise((resolve, reject) => {
			this.waiting = [...this.waiting, {loan, resolve, reject}];
			void this.askForAll();
		});
	}

	private async askForAll(): Promise<void> {
		if (this.isAsking) {
			return;
		}

		this.isAsking = true;
		while (this.waiting.length > 0) {
			const batch = this.waiting;
			this.waiting = [];
			await this.askFor(batch);
		}

		this.isAsking = false;
	}

	/** A failure reaches those who wait, and the next loans are asked for again. */
	private async askFor(batch: readonly WaitingLoan[]): Promise<void> {
		try {
			const answers = await this.ask(batch.map(({loan}) => loan));
			for (const [i, {resolve}] of batch.entries()) {
				resolve(answers?.[i]);
			}
		} catch (err: unknown) {
			for (const {reject} of batch) {
				reject(err);
			}
		}
	}
}
