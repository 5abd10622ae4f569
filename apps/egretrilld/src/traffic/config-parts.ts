import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import type {TrafficSource} from '@egretrill/common';
import {CONFIG_PART_BYTES, MAX_RETAINED_CONFIGS, MAX_RETAINED_CONFIG_BYTES} from './constants.js';
import type {ConfigPart, ConfigPartRequest} from './methods.js';

/** Fast; higher levels make the parts of a configuration hardly smaller. */
const DEFLATE_LEVEL = 1;

type RetainedConfig = {readonly bytes: Uint8Array; readonly deflatedParts: Map<number, Uint8Array>};

/**
 * Serves configurations in parts, which are small enough for any link to take one well within the timeout of a call. A version
 * that some host is receiving is retained for a while, so that hosts complete it however fast further changes follow.
 */
export class ConfigParts {
	/** Ordered by the last use, the most recent one last. */
	private readonly retained = new Map<number, RetainedConfig>();

	constructor(private readonly getTraffic: () => TrafficSource | undefined) {}

	/** Returns a part of the requested version while that is retained, otherwise the first part of the version in force. */
	getPart({version, offset}: ConfigPartRequest): ConfigPart | undefined {
		const requested = this.retained.get(version);
		if (requested && offset < requested.bytes.length) {
			return this.createPart(version, requested, offset);
		}

		const traffic = this.getTraffic();
		return traffic && this.createPart(traffic.version, this.retained.get(traffic.version) ?? {bytes: Buffer.from(traffic.source), deflatedParts: new Map()}, 0);
	}

	private createPart(version: number, config: RetainedConfig, offset: number): ConfigPart {
		this.retain(version, config);
		const endOffset = offset + CONFIG_PART_BYTES;
		const deflated = config.deflatedParts.get(offset) ?? deflateRawSync(config.bytes.subarray(offset, endOffset), {level: DEFLATE_LEVEL});
		if (offset % CONFIG_PART_BYTES === 0) {
			config.deflatedParts.set(offset, deflated);
		}

		return {
			version, offset, totalBytes: config.bytes.length, deflated,
		};
	}

	private retain(version: number, config: RetainedConfig): void {
		this.retained.delete(version);
		this.retained.set(version, config);
		let bytes = [...this.retained.values()].reduce((sum, other) => sum + other.bytes.length, 0);
		for (const [otherVersion, other] of this.retained) {
			if (otherVersion === version || (this.retained.size <= MAX_RETAINED_CONFIGS && bytes <= MAX_RETAINED_CONFIG_BYTES)) {
				return;
			}

			this.retained.delete(otherVersion);
			bytes -= other.bytes.length;
		}
	}
}
