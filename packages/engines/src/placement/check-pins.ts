import type {ConfigDocument, Fault} from '@egretrill/common';

/** Returns a fault for each pin of an unknown model or a forbidden placement, and for each target whose pinned models exceed its memory. */
export function checkPins(document: Pick<ConfigDocument, 'models' | 'placements' | 'accelerators'>): readonly Fault[] {
	const models = new Map(document.models.map(model => [model.id, model]));
	const {pins, forbids} = document.placements;
	const pinFaults = pins.flatMap((pin, i): readonly Fault[] => {
		if (!models.has(pin.model)) {
			return [{path: `placements.pins.${i}.model`, expected: 'a configured model', found: pin.model}];
		}

		return forbids.some(forbid => forbid.model === pin.model && forbid.target === pin.target)
			? [{path: `placements.pins.${i}`, expected: 'a placement that is not forbidden', found: `${pin.model} on ${pin.target}`}]
			: [];
	});
	const sumFaults = document.accelerators.flatMap(({target, memoryMb}): readonly Fault[] => {
		const pinned = [...new Set(pins.filter(pin => pin.target === target).map(pin => pin.model))].flatMap(id => models.get(id) ?? []);
		const sumMb = pinned.reduce((sum, model) => sum + model.memoryMb + model.kvReserveMb, 0);
		return sumMb > memoryMb
			? [{path: 'placements.pins', expected: `at most ${memoryMb} MB pinned on ${target}`, found: `${sumMb} MB (${pinned.map(({id}) => id).join(', ')})`}]
			: [];
	});
	return [...pinFaults, ...sumFaults];
}
