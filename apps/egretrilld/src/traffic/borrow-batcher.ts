import type {RateDecision} from '@egretrill/callers';
import type {RateLoan} from './methods.js';

type PendingLoan = {
	readonly loan: RateLoan;
	readonly resolve: (answer: RateDecision | undefined) => void;
	readonly reject: (err: unknown) => void;
};

/** Sends loans to the leader in one call at a time, which carries all pending ones, so that a slow leader receives larger batches instead of more concurrent calls. */
export class BorrowBatcher {
	private pending: readonly PendingLoan[] = [];
	private isSending = false;

	/** `sendLoans` resolves with the answers in the order of the loans, or with undefined when the leader cannot be reached. */
	constructor(private readonly sendLoans: (loans: readonly RateLoan[]) => Promise<readonly RateDecision[] | undefined>) {}

	async borrow(loan: RateLoan): Promise<RateDecision | undefined> {
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

	/** A failed call rejects the loans of its batch only; later loans are sent in further calls. */
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
