/** A report of a group older than this says nothing any more, milliseconds. */
export const reportMaxAgeMs = 1500;
