import {CrashReport, WireShareAnswer, WireShareRequest} from '@egretrill/callers';
import {Announcement} from '@egretrill/common';
import {
	AdapterLoadResult, AdapterRequest, ColdReport, DemandReport, DigestPosition, DirectoryDigest, ModelExplanation, PermitAnswer, PermitRelease, PermitRenewal, PermitRequest, ZoneSummary,
} from '@egretrill/engines';
import {defineMethod} from '@egretrill/hosts';
import {PermitAnswer as LoadAnswer, PermitRequest as LoadRequest} from '@egretrill/weight-store';
import {z} from 'zod';

const Empty = z.object({});

/** Changes of the target directory for a host of the same zone, with the host that owns the zone. */
export const digestMethod = defineMethod('Directory', 'digest', z.object({position: DigestPosition.optional()}), z.object({digest: DirectoryDigest, owner: z.string().optional()}));

/** The bounded view of a zone for the hosts of other zones. */
export const summaryMethod = defineMethod('Directory', 'summary', z.object({zone: z.string()}), z.object({summary: ZoneSummary, owner: z.string().optional()}));

/** Passes an announcement on to a directory host of the zone. */
export const announceMethod = defineMethod('Directory', 'announce', z.object({announcement: Announcement}), Empty);

/** Exchanges shares of customer buckets with the leader. */
export const shareMethod = defineMethod('Leader', 'share', WireShareRequest, WireShareAnswer);

/** Reports a target that crashed while it ran a request. */
export const crashMethod = defineMethod('Leader', 'crash', CrashReport, Empty);

/** Asks for a permit to load from the weight store, and gives it back. */
export const loadPermitMethod = defineMethod('Leader', 'loadPermit', LoadRequest, LoadAnswer);
export const loadReleaseMethod = defineMethod('Leader', 'loadRelease', z.object({permitId: z.string()}), Empty);

/** Asks the leader whether a withdrawn key can still be honoured anywhere. */
export const withdrawalMethod = defineMethod('Leader', 'withdrawal', z.object({keyId: z.string()}), z.object({
	isKnown: z.boolean(), isInForce: z.boolean(), version: z.int(), waitingFor: z.array(z.string()),
}));

/** Versions in force at all hosts, as the leader knows them. */
export const inForceMethod = defineMethod('Leader', 'inForce', Empty, z.object({versions: z.record(z.string(), z.int())}));

/** Permits for cold targets, from the owner of their zone. */
export const coldPermitMethod = defineMethod('Zone', 'permit', PermitRequest, PermitAnswer);
export const coldReleaseMethod = defineMethod('Zone', 'releasePermit', PermitRelease, Empty);
export const coldRenewMethod = defineMethod('Zone', 'renewPermits', PermitRenewal, Empty);
export const coldReportMethod = defineMethod('Zone', 'reportCold', ColdReport, Empty);

/** One host's demand for models, for the owner of its zone. */
export const demandMethod = defineMethod('Zone', 'demand', z.object({hostId: z.string(), reports: z.array(DemandReport)}), Empty);

/** Has an adapter loaded on a target, by the owner of the target's zone. */
export const adapterLoadMethod = defineMethod('Zone', 'loadAdapter', AdapterRequest, AdapterLoadResult);

/** What the owner of a zone knows about the placement of a model. */
export const explainMethod = defineMethod('Zone', 'explain', z.object({model: z.string()}), ModelExplanation);

/** Asks a host to drain. */
export const drainMethod = defineMethod('Host', 'drain', z.object({author: z.string()}), Empty);

/** Readiness of a host and, if it keeps the log, whether it votes, for the status of the fleet. */
export const hostStatusMethod = defineMethod('Host', 'status', Empty, z.object({ready: z.boolean(), votes: z.boolean().optional(), reasons: z.array(z.string())}));
