/** Age above which a group report is ignored, milliseconds. */
export const reportMaxAgeMs = 1500;
