import type {core} from 'zod';

const emptyMap = {};

/** Largest number of keys that can be encoded. */
const MAX_KEYS = 65_535;

/**
 * Returns a value with the shape of a schema in which the list or record with the given number holds `count` empty maps and all others are empty.
 * Other leaves are short strings, zeros and the like, even if the schema rejects them. Returns undefined if there is no such list.
 */
export function fillList(schema: core.$ZodType, number: number, count: number): unknown {
	let listCount = 0;
	let isFilled = false;
	const countAndMatch = (): boolean => {
		listCount += 1;
		isFilled ||= listCount === number;
		return listCount === number;
	};

	const fill = (part: core.$ZodType): unknown => {
		const {def} = (part as core.$ZodTypes)._zod;
		switch (def.type) {
			case 'array': {
				return countAndMatch() ? Array.from({length: count}, () => emptyMap) : [];
			}

			case 'record': {
				return countAndMatch() ? Object.fromEntries(Array.from({length: Math.min(count / 2, MAX_KEYS)}, (_, i) => [`k${i}`, emptyMap])) : {};
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

			case 'pipe': {
				return fill(def.in);
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
