import type {Model, ResidentModel} from '@egretrill/common';
import type {DirectoryEntry} from '@egretrill/engines';

/** Memory that a resident copy uses according to the configuration. Implemented independently of the placement's memory accounting, so that the audit can check it. */
export function getCopyMemoryMb({model, adapters}: ResidentModel, models: ReadonlyMap<string, Model>): number {
	const configured = models.get(model);
	if (!configured) {
		return 0;
	}

	return configured.adapters
		.filter(({id}) => adapters.includes(id))
		.reduce((sum, {memoryMb}) => sum + memoryMb, configured.memoryMb + configured.kvReserveMb);
}

/** Whether a target holds the model or has enough memory to load it. */
export function canHostModel({memoryMb, resident}: DirectoryEntry, {id, memoryMb: weightsMb, kvReserveMb}: Model): boolean {
	return resident.some(({model}) => model === id) || weightsMb + kvReserveMb <= memoryMb;
}
