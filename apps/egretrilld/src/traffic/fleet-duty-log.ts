import type {FleetCommand, FleetNode, FleetState} from '@egretrill/hosts';
import {
	DutyLog, type EngineOrder, type RecordedOrder, type SettledUsage, type UsageWindow,
} from '@egretrill/provider';
import {DUTY_LOG_TIMEOUT_MS} from './constants.js';

/** Keeps the state of the duties in the log of the control hosts. */
export class FleetDutyLog extends DutyLog {
	constructor(private readonly node: Pick<FleetNode, 'propose'>, private readonly state: Pick<FleetState, 'getUsage' | 'getEngineCounts'>) {
		super();
	}

	override getUsage(): SettledUsage {
		return this.state.getUsage();
	}

	override async settle(windows: readonly UsageWindow[]): Promise<boolean> {
		return this.propose({kind: 'settleUsage', windows: [...windows]});
	}

	override async confirm(window: number): Promise<boolean> {
		return this.propose({kind: 'confirmUsage', window});
	}

	override getOrders(): readonly RecordedOrder[] {
		return this.state.getEngineCounts();
	}

	override async recordOrder({service, zone, count}: EngineOrder): Promise<boolean> {
		return this.propose({
			kind: 'orderEngines', service, zone, count,
		});
	}

	override async acceptOrder({service, zone, count}: EngineOrder): Promise<boolean> {
		return this.propose({
			kind: 'acceptEngines', service, zone, count,
		});
	}

	private async propose(command: FleetCommand): Promise<boolean> {
		const outcome = await this.node.propose(command, DUTY_LOG_TIMEOUT_MS);
		return outcome.kind === 'committed';
	}
}
