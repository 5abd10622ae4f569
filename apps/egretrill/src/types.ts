import {ApiKey} from '@egretrill/common';
import {OperatorName} from '@egretrill/operators';
import {z} from 'zod';

/** Result of a command: its exit code, text for people and data for other programs. */
export const Report = z.object({exitCode: z.int().min(0).max(4), text: z.string(), data: z.unknown()});
export type Report = z.infer<typeof Report>;

/** A call without a valid answer of its operation; `effect` says whether a change may still take effect. */
export const CallFailure = z.object({effect: z.enum(['not-applied', 'unknown']), code: z.string(), reason: z.string()});
export type CallFailure = z.infer<typeof CallFailure>;

/** Options that every command accepts. */
export const CommonArgs = z.object({json: z.boolean().default(false)});

/** Options of commands that connect to a host. */
export const ConnectionArgs = z.object({
	...CommonArgs.shape, admin: z.string().optional(), keyFile: z.string().optional(), operator: OperatorName.optional(),
});
export type ConnectionArgs = z.infer<typeof ConnectionArgs>;

/** Options of commands that change the fleet. */
export const ChangeArgs = z.object({...ConnectionArgs.shape, requestId: ApiKey.shape.id.optional()});
export type ChangeArgs = z.infer<typeof ChangeArgs>;
