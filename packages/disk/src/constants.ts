export const LOG_FILE = 'log';
export const HARD_STATE_FILE = 'hard-state';
export const IDENTITY_FILE = 'identity';
export const SNAPSHOT_FILE = 'snapshot';
export const TEMPORARY_SUFFIX = '.tmp';
/** Suffix for quarantined files, which are kept so that an operator can inspect them. */
export const DAMAGED_SUFFIX = '.damaged';

/** Header layout: body length, CRC-32 of the body, CRC-32 of the first two fields; each a 32-bit little-endian integer. */
export const RECORD_HEADER_BYTES = 12;

/** Zeros at the end of a file that count as data missing after a loss of power; a record that ends in so many is unlikely. */
export const MIN_MISSING_BYTES = 8;
