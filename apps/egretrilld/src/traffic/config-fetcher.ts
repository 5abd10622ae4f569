import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import {
	type Clock, type Logger, MAX_MESSAGE_BYTES, type TrafficSource,
} from '@egretrill/common';
import type {ControlPeers} from '@egretrill/hosts';
import {type ConfigPart, configPartMethod} from './methods.js';

export type ConfigFetcherOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly peers: Pick<ControlPeers, 'call'>;
	readonly onReceived: (config: TrafficSource) => void;
};

/** The first parts of a configuration. */
type IncompleteConfig = {readonly version: number; readonly startedMs: number; readonly chunks: readonly Uint8Array[]; readonly receivedBytes: number};

const nothing: IncompleteConfig = {
	version: 0, startedMs: 0, chunks: [], receivedBytes: 0,
};

/** The text of a part; undefined if it cannot be read or is empty. */
function inflate({deflated}: ConfigPart): Uint8Array | undefined {
	try {
		const chunk = inflateRawSync(deflated, {maxOutputLength: MAX_MESSAGE_BYTES});
		return chunk.length > 0 ? chunk : undefined;
	} catch {
		// The caller logs that no usable part has arrived.
		return undefined;
	}
}

/** Receives configurations from control hosts in parts. What has arrived is kept when a call fails, and the next control host continues from there. */
export class ConfigFetcher {
	private wanted = {controlId: '', version: 0};
	private receivedVersion = 0;
	private incomplete = nothing;
	private isFetching = false;

	constructor(private readonly opts: ConfigFetcherOptions) {}

	/** Receives the version that a control host has, or a newer one, unless a fetch is under way; that one then continues from this host. */
	async fetch(controlId: string, version: number): Promise<void> {
		this.wanted = {controlId, version: Math.max(version, this.wanted.version)};
		if (this.isFetching) {
			return;
		}

		this.isFetching = true;
		let mayGoOn = true;
		while (mayGoOn && this.wanted.version > this.receivedVersion) {
			const {controlId: askedId} = this.wanted;
			const isReceived = await this.fetchPart(askedId);
			mayGoOn = isReceived || this.wanted.controlId !== askedId;
		}

		this.isFetching = false;
	}

	/** Receives the next part; returns false if the control host does not send it. */
	private async fetchPart(controlId: string): Promise<boolean> {
		const {clock, logger, peers} = this.opts;
		const {version, receivedBytes} = this.incomplete;
		const sentMs = clock.now();
		const answer = await peers.call(controlId, configPartMethod, {version, offset: receivedBytes});
		const part = answer.isOk ? answer.value.part : undefined;
		const chunk = part && inflate(part);
		if (!part || !chunk || part.version <= this.receivedVersion) {
			logger.warn({
				peer: controlId, version: this.wanted.version, receivedBytes, reason: answer.isErr ? answer.error.message : 'The control host sent no usable part of a newer version.',
			}, 'A part of a configuration did not arrive.');
			return false;
		}

		this.addChunk(part, chunk, sentMs);
		if (this.incomplete.receivedBytes >= part.totalBytes) {
			this.complete(controlId);
		}

		return true;
	}

	private addChunk({version, offset}: ConfigPart, chunk: Uint8Array, sentMs: number): void {
		const isNext = version === this.incomplete.version && offset === this.incomplete.receivedBytes;
		const {chunks, receivedBytes, startedMs} = isNext ? this.incomplete : {...nothing, startedMs: sentMs};
		this.incomplete = {
			version, startedMs, chunks: [...chunks, chunk], receivedBytes: receivedBytes + chunk.length,
		};
	}

	private complete(controlId: string): void {
		const {version, chunks, receivedBytes, startedMs} = this.incomplete;
		this.incomplete = nothing;
		this.receivedVersion = version;
		this.opts.logger.info({
			version, peer: controlId, bytes: receivedBytes, parts: chunks.length, tookMs: Math.round(this.opts.clock.now() - startedMs),
		}, 'A configuration has arrived.');
		this.opts.onReceived({version, source: Buffer.concat(chunks).toString()});
	}
}
