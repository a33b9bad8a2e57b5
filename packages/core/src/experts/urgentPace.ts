/** Pace from which a rank doubles each pass of its group, so that work leaves it without delay. */
export const urgentPace = 2;
