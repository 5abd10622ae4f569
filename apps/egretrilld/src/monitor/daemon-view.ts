import type {TargetDirectory} from '@egretrill/engines';
import type {VersionedConfigSource} from '@egretrill/hosts';
import {
	type KeyView, type ModelCopy, type MonitoredConfig, MonitorView,
} from '@egretrill/monitor';
import type {FleetControl} from '@egretrill/operators';

/** Serves the monitor from this host's configuration and target directory. */
export class DaemonView extends MonitorView {
	constructor(private readonly source: VersionedConfigSource, private readonly directory: TargetDirectory, private readonly control: FleetControl) {
		super();
	}

	override async getConfig(): Promise<MonitoredConfig | undefined> {
		return this.source.getConfig();
	}

	override async getCopies(): Promise<readonly ModelCopy[]> {
		return this.directory.getTargets().flatMap(({entry}) => entry.resident.map(({model, version}) => ({
			model, version, target: entry.targetId, zone: entry.zone, state: 'resident' as const,
		})));
	}

	override async getKeyState(keyId: string): Promise<KeyView['state']> {
		const key = this.source.getConfig()?.document.keys.find(({id}) => id === keyId);
		if (key?.state !== 'withdrawn') {
			return 'active';
		}

		const withdrawal = await this.control.getWithdrawal(keyId);
		return withdrawal.result === 'in-force' ? 'withdrawn' : 'withdrawal-pending';
	}
}
