import {HistoryView} from '../history-view.js';
import type {CheckResult, History} from '../types.js';
import {AtMostOnceCheck} from './at-most-once-check.js';
import {ColdTargetCheck} from './cold-check.js';
import {ConfigCheck} from './config-check.js';
import {GracefulStopCheck} from './graceful-stop-check.js';
import {KeyCheck} from './key-check.js';
import {LeavingTargetCheck} from './leaving-check.js';
import {MemoryCheck} from './memory-check.js';
import type {PromiseCheck} from './promise-check.js';
import {RateCheck} from './rate-check.js';
import {TrueRefusalCheck} from './true-refusal-check.js';
import {WholeAnswerCheck} from './whole-answer-check.js';
import {ZoneCheck} from './zone-check.js';

const checks: readonly PromiseCheck[] = [
	new MemoryCheck(),
	new KeyCheck(),
	new RateCheck(),
	new ColdTargetCheck(),
	new ZoneCheck(),
	new WholeAnswerCheck(),
	new TrueRefusalCheck(),
	new AtMostOnceCheck(),
	new LeavingTargetCheck(),
	new GracefulStopCheck(),
	new ConfigCheck(),
];

/** Runs the check of every promise against a recorded history. */
export function checkHistory(history: History): readonly CheckResult[] {
	const view = new HistoryView(history);
	return checks.map(check => check.run(view));
}
