import type {core} from 'zod';

const emptyMap = {};

/** Larger maps cannot be encoded. */
const MAX_KEYS = 65_535;

/**
 * A value with the shape of a schema, in which the list or record of one number holds `count` empty maps and all others are empty.
 * Other leaves are short texts, zeros and the like, whether they fit or not; undefined when there is no such list.
 */
export function fillList(schema: core.$ZodType, number: number, count: number): unknown {
	let seen = 0;
	let isFilled = false;
	const takeTurn = (): boolean => {
		seen += 1;
		isFilled ||= seen === number;
		return seen === number;
	};

	const fill = (one: core.$ZodType): unknown => {
		const {def} = (one as core.$ZodTypes)._zod;
		switch (def.type) {
			case 'array': {
				return takeTurn() ? Array.from({length: count}, () => emptyMap) : [];
			}

			case 'record': {
				return takeTurn() ? Object.fromEntries(Array.from({length: Math.min(count / 2, MAX_KEYS)}, (_, i) => [`k${i}`, emptyMap])) : {};
			}

			case 'object': {
				return Object.fromEntries(Object.entries(def.shape).map(([key, value]) => [key, fill(value)]));
			}

			case 'tuple': {
				return def.items.map(item => fill(item));
			}

			case 'optional':
			case 'default':
			case 'nullable': {
				return fill(def.innerType);
			}

			case 'union': {
				const filled = def.options.map(option => {
					const before = isFilled;
					return {value: fill(option), isChosen: isFilled && !before};
				});
				return (filled.find(({isChosen}) => isChosen) ?? filled[0])?.value;
			}

			case 'literal': {
				return def.values[0];
			}

			case 'enum': {
				return Object.values(def.entries)[0];
			}

			case 'string': {
				return 'a';
			}

			case 'boolean': {
				return false;
			}

			case 'custom': {
				return new Uint8Array(0);
			}

			default: {
				return 0;
			}
		}
	};

	const value = fill(schema);
	return isFilled ? value : undefined;
}
