export const LOG_FILE = 'log';
export const HARD_STATE_FILE = 'hard-state';
export const IDENTITY_FILE = 'identity';
export const SNAPSHOT_FILE = 'snapshot';
export const TEMPORARY_SUFFIX = '.tmp';
/** Damaged files are renamed with this suffix, so that an operator can still inspect them. */
export const DAMAGED_SUFFIX = '.damaged';

/** Body length, CRC-32 of the body and CRC-32 of these two, each as 32-bit little endian. */
export const RECORD_HEADER_BYTES = 12;
