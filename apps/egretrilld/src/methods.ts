import {
	CrashAnswer, CrashReport, WireShareAnswer, WireShareRequest,
} from '@egretrill/callers';
import {Announcement} from '@egretrill/common';
import {
	AdapterLoadResult, AdapterRequest, ColdReport, DemandReport, DigestPosition, DirectoryDigest, ModelExplanation, PermitAnswer, PermitRelease, PermitRenewal, PermitRequest, ZoneSummary,
} from '@egretrill/engines';
import {defineMethod} from '@egretrill/hosts';
import {PermitAnswer as LoadAnswer, PermitRequest as LoadRequest} from '@egretrill/weight-store';
import {z} from 'zod';

const Empty = z.object({});

/** Reads the changes of the target directory since a position, for a host of the same zone, together with the zone's owner. */
export const digestMethod = defineMethod('Directory', 'digest', z.object({position: DigestPosition.optional()}), z.object({digest: DirectoryDigest, owner: z.string().optional()}));

/** Reads a summary of bounded size of a zone, for hosts of other zones. */
export const summaryMethod = defineMethod('Directory', 'summary', z.object({zone: z.string()}), z.object({summary: ZoneSummary, owner: z.string().optional()}));

/** Forwards a target's announcement to a directory host of the zone. */
export const announceMethod = defineMethod('Directory', 'announce', z.object({announcement: Announcement}), Empty);

/** Exchanges shares of customer buckets with the leader. */
export const shareMethod = defineMethod('Leader', 'share', WireShareRequest, WireShareAnswer);

/** Exchanges evidence on what ends targets with the leader. */
export const crashMethod = defineMethod('Leader', 'crashes', CrashReport, CrashAnswer);

/** Requests a permit to load from the weight store, and releases it. */
export const loadPermitMethod = defineMethod('Leader', 'loadPermit', LoadRequest, LoadAnswer);
export const loadReleaseMethod = defineMethod('Leader', 'loadRelease', z.object({permitId: z.string()}), Empty);

/** Reads from the leader whether any host may still accept a withdrawn key. */
export const withdrawalMethod = defineMethod('Leader', 'withdrawal', z.object({keyId: z.string()}), z.object({
	isKnown: z.boolean(), isInForce: z.boolean(), version: z.int(), waitingFor: z.array(z.string()),
}));

/** Reads the configuration versions in force at all hosts, as reported to the leader. */
export const inForceMethod = defineMethod('Leader', 'inForce', Empty, z.object({versions: z.record(z.string(), z.int())}));

/** Permits for requests to cold targets, granted by the owner of their zone. */
export const coldPermitMethod = defineMethod('Zone', 'permit', PermitRequest, PermitAnswer);
export const coldReleaseMethod = defineMethod('Zone', 'releasePermit', PermitRelease, Empty);
export const coldRenewMethod = defineMethod('Zone', 'renewPermits', PermitRenewal, Empty);
export const coldReportMethod = defineMethod('Zone', 'reportCold', ColdReport, Empty);

/** Reports one host's demand for models to the owner of its zone. */
export const demandMethod = defineMethod('Zone', 'demand', z.object({hostId: z.string(), reports: z.array(DemandReport)}), Empty);

/** Requests that the owner of a target's zone loads an adapter on that target. */
export const adapterLoadMethod = defineMethod('Zone', 'loadAdapter', AdapterRequest, AdapterLoadResult);

/** Reads the zone owner's explanation of the placement of a model. */
export const explainMethod = defineMethod('Zone', 'explain', z.object({model: z.string()}), ModelExplanation);

/** Starts draining a host. */
export const drainMethod = defineMethod('Host', 'drain', z.object({author: z.string()}), Empty);

/** Reads the readiness of a host and, if it is a member of the log, whether it votes. */
export const hostStatusMethod = defineMethod('Host', 'status', Empty, z.object({ready: z.boolean(), votes: z.boolean().optional(), reasons: z.array(z.string())}));
