import type {EngineClass, ScalingRange, TrafficCustomer} from '@egretrill/common';
import type {FleetState} from '@egretrill/hosts';
import type {ConfigDecoder} from './config-decoder.js';

type Decoded = {readonly source: string; readonly services: ReadonlySet<string>; readonly classes: ReadonlyMap<string, EngineClass>; readonly ranges: ReadonlyMap<string, ScalingRange>; readonly customers: ReadonlyMap<string, TrafficCustomer>};

/** What a control host uses of the configuration in force, decoded once per version. */
export class DecodedTraffic {
	private decoded: Decoded | undefined;

	constructor(private readonly decoder: ConfigDecoder, private readonly state: Pick<FleetState, 'getTraffic'>) {}

	/** Whether the configuration names a service; without a configuration each one counts as named. */
	namesService(service: string): boolean {
		return this.getDecoded()?.services.has(service) ?? true;
	}

	/** Engine classes by service. */
	getClasses(): ReadonlyMap<string, EngineClass> {
		return this.getDecoded()?.classes ?? new Map();
	}

	/** Numbers of engines by service, where they may be ordered. */
	getScalingRanges(): ReadonlyMap<string, ScalingRange> {
		return this.getDecoded()?.ranges ?? new Map();
	}

	/** Customers by name. */
	getCustomers(): ReadonlyMap<string, TrafficCustomer> {
		return this.getDecoded()?.customers ?? new Map();
	}

	private getDecoded(): Decoded | undefined {
		const source = this.state.getTraffic()?.source;
		if (source !== undefined && this.decoded?.source !== source) {
			const {services, customers = []} = this.decoder.decode(source).unwrapOr({services: [], customers: []});
			this.decoded = {
				source,
				services: new Set(services.map(({name}) => name)),
				classes: new Map(services.flatMap(({name, engine}) => engine ? [[name, engine] as const] : [])),
				ranges: new Map(services.flatMap(({name, scaling}) => scaling ? [[name, scaling] as const] : [])),
				customers: new Map(customers.map(customer => [customer.name, customer])),
			};
		}

		return this.decoded;
	}
}
