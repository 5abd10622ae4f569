const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a status may be that of an answer. A target in trouble may send another one, such as 000, which says nothing of its request. */
export function isAnswerStatus(status: number): boolean {
	return status >= MIN_STATUS && status <= MAX_STATUS;
}
