import {
	type ColdReport, type PermitAnswer, type PermitRelease, type PermitRenewal, type PermitRequest, PermitTransport,
} from '@egretrill/engines';
import type {Method, PeerDirectory} from '@egretrill/hosts';
import {
	coldPermitMethod, coldReleaseMethod, coldRenewMethod, coldReportMethod,
} from '../methods.js';

/** Sends permit messages to zone owners over gRPC. */
export class GrpcPermitTransport extends PermitTransport {
	constructor(private readonly peers: PeerDirectory, private readonly getZoneOwner: (zone: string) => string | undefined) {
		super();
	}

	override async requestPermit(zone: string, req: PermitRequest): Promise<PermitAnswer> {
		return this.call(zone, coldPermitMethod, req);
	}

	override async releasePermit(zone: string, release: PermitRelease): Promise<void> {
		await this.call(zone, coldReleaseMethod, release);
	}

	override async renewPermits(zone: string, renewal: PermitRenewal): Promise<void> {
		await this.call(zone, coldRenewMethod, renewal);
	}

	override async reportCold(zone: string, report: ColdReport): Promise<void> {
		await this.call(zone, coldReportMethod, report);
	}

	private async call<Req, Res>(zone: string, method: Method<Req, Res>, req: Req): Promise<Res> {
		const owner = this.getZoneOwner(zone);
		if (owner === undefined) {
			throw new Error(`The owner of zone ${zone} is not known.`);
		}

		const answer = await this.peers.call(owner, method, req);
		if (answer.isErr) {
			throw new Error(`The owner of zone ${zone} did not answer: ${answer.error.message}`);
		}

		return answer.value;
	}
}
