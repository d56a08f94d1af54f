/** The mallowctl operator tool. */
export {};
