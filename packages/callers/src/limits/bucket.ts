import type {Rate} from '@egretrill/common';
import {
	addAmounts, getBurst, getPerSecond, mapAmounts, minAmounts, NO_AMOUNTS, subtractAmounts,
} from './amounts.js';
import type {Amounts, GrantReport} from './types.js';

type LiveGrant = {
	readonly amounts: Amounts;
	readonly settled: Amounts;
	readonly returned: Amounts;
	readonly expiresAtMs: number;
};

/**
 * Token bucket of one customer that includes the tokens held by hosts: `level + outstanding <= burst`.
 * When a lower burst is configured, `outstanding` alone may exceed it until the older grants expire; `level` is then 0.
 */
export class Bucket {
	private level = NO_AMOUNTS;
	private outstanding = NO_AMOUNTS;
	/** In order of issue, which is also the order of expiry. */
	private readonly grants = new Map<number, LiveGrant>();
	private accruedAtMs: number;

	/** Starts at level 0 and accrues from the given time, which may be in the future. */
	constructor(private rate: Rate, accruesFromMs: number) {
		this.accruedAtMs = accruesFromMs;
	}

	getLevel(): Amounts {
		return this.level;
	}

	getOutstanding(): Amounts {
		return this.outstanding;
	}

	/** Expires grants and accrues tokens up to the given time. */
	advance(nowMs: number): void {
		for (const [serial, grant] of this.grants) {
			if (grant.expiresAtMs > nowMs) {
				break;
			}

			// Accrual is capped at `burst - outstanding`, so tokens are accrued up to each expiry before the expiry raises the cap.
			this.accrue(grant.expiresAtMs);
			this.grants.delete(serial);
			this.outstanding = subtractAmounts(this.outstanding, getUnsettled(grant));
		}

		this.accrue(nowMs);
	}

	/** Applies a configured rate; granted tokens keep their lifetime. */
	setRate(rate: Rate, nowMs: number): void {
		this.advance(nowMs);
		this.rate = rate;
		this.level = minAmounts(this.level, this.getHeadroom());
	}

	/** Moves whole tokens from the level to a new grant. */
	issue(serial: number, amounts: Amounts, expiresAtMs: number): void {
		this.level = subtractAmounts(this.level, amounts);
		this.outstanding = addAmounts(this.outstanding, amounts);
		this.grants.set(serial, {
			amounts, settled: NO_AMOUNTS, returned: NO_AMOUNTS, expiresAtMs,
		});
	}

	/** Applies the settled and returned tokens of a live grant; ignores a report on an expired one. */
	applyReport(report: GrantReport): void {
		const grant = this.grants.get(report.serial);
		if (!grant) {
			return;
		}

		// Totals only increase and never exceed the grant, even if reports arrive out of order.
		const settled = mapAmounts(unit => Math.min(grant.amounts[unit] - grant.returned[unit], Math.max(grant.settled[unit], report.settled[unit])));
		const returned = mapAmounts(unit => Math.min(grant.amounts[unit] - settled[unit], Math.max(grant.returned[unit], report.returned?.[unit] ?? 0)));
		const after = {...grant, settled, returned};
		this.outstanding = addAmounts(subtractAmounts(this.outstanding, getUnsettled(grant)), getUnsettled(after));
		this.level = minAmounts(addAmounts(this.level, subtractAmounts(returned, grant.returned)), this.getHeadroom());
		this.grants.set(report.serial, after);
	}

	/** Time until the level covers the amounts if nothing else is granted. */
	getWaitMs(nowMs: number, amounts: Amounts): number {
		const missing = subtractAmounts(amounts, this.level);
		const perSecond = getPerSecond(this.rate);
		return Math.max(0, this.accruedAtMs - nowMs) + (Math.max(missing.tokens / perSecond.tokens, missing.requests / perSecond.requests) * 1000);
	}

	private getHeadroom(): Amounts {
		return subtractAmounts(getBurst(this.rate), this.outstanding);
	}

	private accrue(untilMs: number): void {
		if (untilMs <= this.accruedAtMs) {
			return;
		}

		const seconds = (untilMs - this.accruedAtMs) / 1000;
		const perSecond = getPerSecond(this.rate);
		const accrued = mapAmounts(unit => this.level[unit] + (perSecond[unit] * seconds));
		this.level = minAmounts(accrued, this.getHeadroom());
		this.accruedAtMs = untilMs;
	}
}

function getUnsettled(grant: LiveGrant): Amounts {
	return subtractAmounts(subtractAmounts(grant.amounts, grant.settled), grant.returned);
}
