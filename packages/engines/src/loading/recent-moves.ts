import {UNDO_PERIOD_MS} from './constants.js';
import type {LoadMove} from './types.js';

type RecentMove = Pick<LoadMove, 'targetId' | 'unload' | 'load'> & {readonly atMs: number; readonly costRequestS: number};

/** Moves of the last seconds. Moves that undo one of them cost two loads and leave everything as it was, as when demand swings between two models. */
export class RecentMoves {
	private moves: readonly RecentMove[] = [];

	record({targetId, unload, load, costRequestS = 0}: LoadMove, atMs: number): void {
		const recent = this.moves.filter(move => atMs - move.atMs < UNDO_PERIOD_MS);
		this.moves = [...recent, {
			targetId, unload, load, atMs, costRequestS,
		}];
	}

	/** Request-seconds that the recent moves cost which a move would undo, by loading a model that one unloaded at any engine or unloading the copy that one loaded; undefined if it undoes none. */
	getUndoneCost(targetId: string, unload: readonly string[], load: string, nowMs: number): number | undefined {
		const undone = this.moves.filter(move => nowMs - move.atMs < UNDO_PERIOD_MS && (move.unload.includes(load) || (move.targetId === targetId && unload.includes(move.load))));
		return undone.length === 0 ? undefined : undone.reduce((sum, {costRequestS}) => sum + costRequestS, 0);
	}
}
