package org.guavagw.internal.budget;

/**
 * A part of a team's budget set aside for one request. Immutable.
 *
 * @param id tells reservations of one gate apart
 * @param epochDay the day of UTC whose budget it belongs to
 */
public record Reservation(long id, String team, long epochDay, long micros) {}
