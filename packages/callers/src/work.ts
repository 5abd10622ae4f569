import {
	ChatRequest, PRIORITY_HEADER, refuse, type Route, type Verdict,
} from '@egretrill/common';
import {Result} from 'true-myth';
import type {ConfigIndex} from './config-index.js';
import {TOKENS_PER_CHARACTER} from './constants.js';
import type {CallerRequest, WorkEstimate} from './types.js';

/** The work that a request asks for, parsed once from its body. */
export type Work = {
	readonly route: Route;
	readonly chat?: ChatRequest;
	readonly prompt: string;
	readonly estimate: WorkEstimate;
	/** True if another target would generate exactly the same text. */
	readonly isDeterministic: boolean;
};

function getPriority(route: Route, headers: Readonly<Record<string, string>>): WorkEstimate['priority'] {
	return headers[PRIORITY_HEADER] === 'batch' ? 'batch' : route.priority;
}

function parseChat(body: Uint8Array): Result<ChatRequest, Verdict> {
	let value: unknown;
	try {
		value = JSON.parse(new TextDecoder().decode(body));
	} catch {
		return Result.err(refuse(400, 'malformed-json', 'The body is not valid JSON.'));
	}

	const parsed = ChatRequest.safeParse(value);
	if (parsed.success) {
		return Result.ok(parsed.data);
	}

	const issue = parsed.error.issues[0];
	return Result.err(refuse(400, 'invalid-body', `The field ${issue?.path.join('.') ?? ''} is not valid: ${issue?.message ?? 'unknown'}.`));
}

function checkModel(index: ConfigIndex, chat: ChatRequest): Result<ChatRequest, Verdict> {
	const model = index.models.get(chat.model);
	if (!model) {
		return Result.err(refuse(404, 'unknown-model', `The model ${chat.model} is not configured.`));
	}

	if (chat.adapter !== undefined && !model.adapters.some(adapter => adapter.id === chat.adapter)) {
		return Result.err(refuse(404, 'unknown-adapter', `The adapter ${chat.adapter} is not configured for ${chat.model}.`));
	}

	return Result.ok(chat);
}

function createChatWork(route: Route, req: CallerRequest, chat: ChatRequest): Work {
	const prompt = chat.messages.map(message => `${message.role}: ${message.content}`).join('\n');
	return {
		route,
		chat,
		prompt,
		estimate: {promptTokens: Math.ceil(prompt.length * TOKENS_PER_CHARACTER), maxTokens: chat.max_tokens, priority: getPriority(route, req.headers)},
		isDeterministic: chat.temperature === 0 || chat.seed !== undefined,
	};
}

/** Parses the work of a request, or refuses the request. */
export function parseWork(index: ConfigIndex, route: Route, req: CallerRequest): Result<Work, Verdict> {
	if (route.kind === 'service') {
		return Result.ok({
			route, prompt: '', isDeterministic: false, estimate: {promptTokens: 0, maxTokens: 0, priority: getPriority(route, req.headers)},
		});
	}

	return parseChat(req.body)
		.andThen(chat => checkModel(index, chat))
		.map(chat => createChatWork(route, req, chat));
}
