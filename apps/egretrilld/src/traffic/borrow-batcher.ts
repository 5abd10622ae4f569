import type {RateAnswer} from '@egretrill/callers';
import type {RateLoan} from './methods.js';

type PendingLoan = {
	readonly loan: RateLoan;
	readonly resolve: (answer: RateAnswer | undefined) => void;
	readonly reject: (err: unknown) => void;
};

/** Asks the leader for loans with one call at a time, which carries all that wait. Answers a busy leader: the longer it takes, the more loans a call brings. */
export class BorrowBatcher {
	private pending: readonly PendingLoan[] = [];
	private isSending = false;

	/** Answers come in the order of the loans; undefined when the leader cannot be reached. */
	constructor(private readonly sendLoans: (loans: readonly RateLoan[]) => Promise<readonly RateAnswer[] | undefined>) {}

	async borrow(loan: RateLoan): Promise<RateAnswer | undefined> {
		return new Promise((resolve, reject) => {
			this.pending = [...this.pending, {loan, resolve, reject}];
			void this.sendPending();
		});
	}

	private async sendPending(): Promise<void> {
		if (this.isSending) {
			return;
		}

		this.isSending = true;
		while (this.pending.length > 0) {
			const batch = this.pending;
			this.pending = [];
			await this.sendBatch(batch);
		}

		this.isSending = false;
	}

	/** A failure reaches those who wait, and the next loans are asked for again. */
	private async sendBatch(batch: readonly PendingLoan[]): Promise<void> {
		try {
			const answers = await this.sendLoans(batch.map(({loan}) => loan));
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
