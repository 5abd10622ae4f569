import {Bytes, createCodec, MAX_MESSAGE_VALUES} from '@egretrill/common';
import {z} from 'zod';

/** One call on a session: its id, the method path and the encoded request. */
export const CallFrame = z.tuple([z.int().nonnegative(), z.string(), Bytes]);
export type CallFrame = z.infer<typeof CallFrame>;

/** The answer to the call with the same id: the encoded response, or an error message. */
export const AnswerFrame = z.tuple([z.int().nonnegative(), z.union([Bytes, z.string()])]);
export type AnswerFrame = z.infer<typeof AnswerFrame>;

export const callFrameCodec = createCodec(CallFrame, MAX_MESSAGE_VALUES);
export const answerFrameCodec = createCodec(AnswerFrame, MAX_MESSAGE_VALUES);

/** Path of the stream on which one host calls another. All methods share one stream, since a stream per call costs several times as much. */
export const SESSION_PATH = '/egretrill.Peer/session';
