package org.guavagw.internal.budget;

/**
 * A part of a team's budget reserved for one request. Immutable.
 *
 * @param id unique among the reservations of a team in one process
 * @param epochDay the UTC day whose budget it belongs to, in days since 1970-01-01
 */
public record Reservation(long id, String team, long epochDay, long micros) {}
