import type {Metrics} from '@egretrill/balancer';
import type {ChoiceBasis, ExpectedPrefix, HostSpeeds} from '@egretrill/engines';

/** Metrics of the speeds of targets and of the choices that use them. */
export class ChoiceMetrics {
	private readonly choices;
	private readonly spread;
	private readonly prefixTokens;

	constructor(private readonly speeds: HostSpeeds, metrics: Metrics) {
		this.choices = metrics.createCounter({name: 'egretrill_target_choices_total', help: 'Choices of a target by expected completion, by what they were decided by.', labels: ['basis']});
		this.spread = metrics.createGauge({name: 'egretrill_target_speed_ratio', help: 'Speed of the fastest target relative to the slowest one; 0 while the targets are equally fast or unknown.'});
		this.prefixTokens = metrics.createCounter({name: 'egretrill_prefix_tokens_total', help: 'Tokens of the prompt parts of sent requests: all that were named, those expected at the target that holds most of them, and those expected at the chosen target.', labels: ['kind']});
	}

	recordPrefix({named, best, chosen}: ExpectedPrefix): void {
		this.prefixTokens.add(named, {kind: 'named'});
		this.prefixTokens.add(best, {kind: 'expected'});
		this.prefixTokens.add(chosen, {kind: 'chosen'});
	}

	recordChoice(basis: ChoiceBasis): void {
		this.choices.add(1, {basis});
	}

	/** Takes the current speeds over. */
	update(): void {
		const speeds = this.speeds.listMerged();
		this.spread.set(speeds.length === 0 ? 0 : Math.max(...speeds) / Math.min(...speeds));
	}
}
