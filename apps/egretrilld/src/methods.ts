import {Announcement} from '@egretrill/common';
import {DigestPosition, DirectoryDigest, ZoneSummary} from '@egretrill/engines';
import {defineMethod} from '@egretrill/hosts';
import {z} from 'zod';

const Empty = z.object({});

/** Changes of the target directory for a host of the same zone. */
export const digestMethod = defineMethod('Directory', 'digest', z.object({position: DigestPosition.optional()}), z.object({digest: DirectoryDigest}));

/** The bounded view of a zone for the hosts of other zones. */
export const summaryMethod = defineMethod('Directory', 'summary', z.object({zone: z.string()}), z.object({summary: ZoneSummary}));

/** Passes an announcement on to a directory host of the zone. */
export const announceMethod = defineMethod('Directory', 'announce', z.object({announcement: Announcement}), Empty);
