export * from './errors.js';
export * from './node.js';
export {decideVote, getMajorityValue, planMemberChange} from './rules.js';
export * from './state-machine.js';
export * from './transport.js';
