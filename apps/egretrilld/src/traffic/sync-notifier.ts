import {type Clock, Signal} from '@egretrill/common';
import type {CrashRevision} from '@egretrill/callers';
import type {TargetRegistry} from '@egretrill/engines';

/** Registry revision up to which an entry host is up to date. */
export type KnownRegistry = {readonly origin: string; readonly revision: number};

/** What an entry host has. */
export type KnownState = {readonly configVersion: number; readonly registry: KnownRegistry; readonly crashes?: CrashRevision | undefined};

export type SyncNotifierOptions = {
	readonly clock: Clock;
	readonly registry: Pick<TargetRegistry, 'hasChangedSince' | 'getChangedRevision'>;
	/** Version of the configuration in force; 0 when there is none. */
	readonly getConfigVersion: () => number;
	/** Whether there is evidence on what ends targets that an entry host does not have. */
	readonly hasCrashesSince: (known: CrashRevision | undefined) => boolean;
};

/** Holds the long polls of entry hosts until the configuration or a target changes. */
export class SyncNotifier {
	private readonly changed = new Signal();
	/** Configuration version and registry revision at the last notification. */
	private notified = {configVersion: 0, revision: 0};

	constructor(private readonly opts: SyncNotifierOptions) {}

	/** Resolves when the configuration, a target or the evidence is newer than the given state, or when the wait times out. */
	async wait(known: KnownState, waitMs: number): Promise<void> {
		const {clock} = this.opts;
		const endsMs = clock.now() + waitMs;
		while (clock.now() < endsMs && !this.hasNewsFor(known)) {
			await this.changed.wait(clock, endsMs - clock.now());
		}
	}

	/** Wakes the held polls. */
	notify(): void {
		this.changed.notify();
	}

	/** Wakes the held polls if the configuration or a target has changed; must be called whenever the log or the registry may have changed. */
	notifyIfChanged(): void {
		const configVersion = this.opts.getConfigVersion();
		const revision = this.opts.registry.getChangedRevision();
		if (configVersion !== this.notified.configVersion || revision !== this.notified.revision) {
			this.notified = {configVersion, revision};
			this.changed.notify();
		}
	}

	private hasNewsFor({configVersion, registry, crashes}: KnownState): boolean {
		const {getConfigVersion, hasCrashesSince, registry: targets} = this.opts;
		return getConfigVersion() > configVersion || targets.hasChangedSince(registry) || hasCrashesSince(crashes);
	}
}
