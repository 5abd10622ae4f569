import type {Model, ResidentModel} from '@egretrill/common';
import type {DirectoryEntry} from '@egretrill/engines';

/** Memory of a resident copy by the configuration; written apart from the placement's ledger, which it checks. */
export function getCopyMemoryMb({model, adapters}: ResidentModel, models: ReadonlyMap<string, Model>): number {
	const configured = models.get(model);
	if (!configured) {
		return 0;
	}

	return configured.adapters
		.filter(({id}) => adapters.includes(id))
		.reduce((sum, {memoryMb}) => sum + memoryMb, configured.memoryMb + configured.kvReserveMb);
}

/** Whether a target holds the model or is large enough to load it. */
export function canHostModel({memoryMb, resident}: DirectoryEntry, {id, memoryMb: weightsMb, kvReserveMb}: Model): boolean {
	return resident.some(({model}) => model === id) || weightsMb + kvReserveMb <= memoryMb;
}
