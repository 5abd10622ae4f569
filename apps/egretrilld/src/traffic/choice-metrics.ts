import type {Metrics} from '@egretrill/balancer';
import type {ChoiceBasis, HostSpeeds} from '@egretrill/engines';

/** Metrics of the speeds of targets and of the choices that rest on them. */
export class ChoiceMetrics {
	private readonly choices;
	private readonly spread;

	constructor(private readonly speeds: HostSpeeds, metrics: Metrics) {
		this.choices = metrics.createCounter({name: 'egretrill_target_choices_total', help: 'Choices of a target by expected completion, by what they were decided by.', labels: ['basis']});
		this.spread = metrics.createGauge({name: 'egretrill_target_speed_ratio', help: 'Speed of the fastest target relative to the slowest one; 0 while the targets are equally fast or unknown.'});
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
