import type {ConfigDocument} from '@egretrill/common';
import {RETAINED_ANSWERS, RETAINED_CHANGES} from './constants.js';
import {createChange, getDocumentDigest} from './fleet-state-changes.js';
import type {
	FleetCommandOf, FleetResult, FleetSnapshot, MemberRequest,
} from './types.js';

export type OperatorCommand = FleetCommandOf<'apply' | 'withdrawKey' | 'setZoneState' | 'addMember' | 'removeMember'>;
type Transition = {readonly state: FleetSnapshot; readonly result: FleetResult};

function refuseCommand(state: FleetSnapshot, code: string, message: string): Transition {
	return {state, result: {kind: 'refused', code, message}};
}

function acceptUnchanged(state: FleetSnapshot): Transition {
	const {version, digest, author} = state.config;
	return {
		state,
		result: {
			kind: 'accepted', version, digest, author,
		},
	};
}

/** Makes a document the next version of the configuration. */
function acceptDocument(state: FleetSnapshot, document: ConfigDocument, info: {readonly digest?: string; readonly author: string}): Transition {
	const version = state.config.version + 1;
	const accepted = {...document, version};
	if (accepted.zones.every(zone => zone.state === 'taken-out')) {
		return refuseCommand(state, 'last-zone', 'At least one zone must stay in service.');
	}

	const digest = info.digest ?? getDocumentDigest(accepted);
	const change = createChange(state.config.document, accepted, {version, digest, author: info.author});
	return {
		state: {
			...state,
			config: {
				version, digest, author: info.author, document: accepted,
			},
			changes: [...state.changes, change].slice(-RETAINED_CHANGES),
		},
		result: {
			kind: 'accepted', version, digest, author: info.author,
		},
	};
}

function applyDocument(state: FleetSnapshot, command: FleetCommandOf<'apply'>): Transition {
	const {config} = state;
	return command.follows === config.version
		? acceptDocument(state, command.document, command)
		: {
			state,
			result: {
				kind: 'conflict', version: config.version, digest: config.digest, author: config.author,
			},
		};
}

function withdrawKey(state: FleetSnapshot, command: FleetCommandOf<'withdrawKey'>): Transition {
	const {document} = state.config;
	const key = document?.keys.find(key => key.id === command.keyId);
	if (document === undefined || key === undefined) {
		return refuseCommand(state, 'unknown-key', `There is no key ${command.keyId}.`);
	}

	const keys = document.keys.map(other => other === key ? {...key, state: 'withdrawn' as const} : other);
	return key.state === 'withdrawn' ? acceptUnchanged(state) : acceptDocument(state, {...document, keys}, {author: command.author});
}

function setZoneState(state: FleetSnapshot, command: FleetCommandOf<'setZoneState'>): Transition {
	const {document} = state.config;
	const zone = document?.zones.find(zone => zone.id === command.zone);
	if (document === undefined || zone === undefined) {
		return refuseCommand(state, 'unknown-zone', `There is no zone ${command.zone}.`);
	}

	const zones = document.zones.map(other => other === zone ? {...zone, state: command.state} : other);
	return zone.state === command.state ? acceptUnchanged(state) : acceptDocument(state, {...document, zones}, {author: command.author});
}

function setMemberRequest(state: FleetSnapshot, request: MemberRequest): Transition {
	return acceptUnchanged({...state, members: [...state.members.filter(member => member.id !== request.id), request]});
}

function runOperation(state: FleetSnapshot, command: OperatorCommand): Transition {
	switch (command.kind) {
		case 'apply': {
			return applyDocument(state, command);
		}

		case 'withdrawKey': {
			return withdrawKey(state, command);
		}

		case 'setZoneState': {
			return setZoneState(state, command);
		}

		case 'addMember': {
			return setMemberRequest(state, {id: command.member.id, wish: 'voter', host: command.member});
		}

		case 'removeMember': {
			return setMemberRequest(state, {id: command.memberId, wish: 'absent'});
		}
	}
}

/** Identifies the content of an operator's command, without its author and request id. */
function getFingerprint(command: OperatorCommand): string {
	const {requestId: _requestId, author: _author, ...content} = command;
	return command.kind === 'apply' ? `apply ${command.follows} ${command.digest}` : JSON.stringify(content);
}

/** Runs an operator's command exactly once; a resend returns the first answer. */
export function applyOperation(state: FleetSnapshot, command: OperatorCommand): Transition {
	const fingerprint = getFingerprint(command);
	const requestAnswer = state.answers.find(answer => answer.requestId === command.requestId);
	if (requestAnswer !== undefined) {
		return requestAnswer.fingerprint === fingerprint
			? {state, result: requestAnswer.result}
			: refuseCommand(state, 'request-id-reused', `Request ${command.requestId} was already used for another change.`);
	}

	// A tool that restarted without its request id sends the same document under a new one.
	const documentAnswer = command.kind === 'apply' && state.answers.find(answer => answer.fingerprint === fingerprint && answer.result.kind === 'accepted');
	if (documentAnswer) {
		return {state, result: documentAnswer.result};
	}

	const transition = runOperation(state, command);
	const answer = {requestId: command.requestId, fingerprint, result: transition.result};
	return {state: {...transition.state, answers: [...transition.state.answers, answer].slice(-RETAINED_ANSWERS)}, result: transition.result};
}
