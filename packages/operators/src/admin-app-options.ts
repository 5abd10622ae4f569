import type {Logger} from '@egretrill/common';
import type {FleetControl} from './fleet-control.js';

/** What the operators' HTTP interfaces need. */
export type AdminAppOptions = {
	readonly control: FleetControl;
	/** SHA-256 digest of the operators' credential, as set in the host settings. */
	readonly adminKeyDigest: string;
	readonly logger: Logger;
	/** Sets the `Secure` attribute of the session cookie, so that browsers send it over TLS only; absent for loopback listeners without TLS. */
	readonly secureCookie?: boolean;
};
