package org.guavagw.config;

/**
 * Limits on a team's traffic at one entry. Immutable.
 *
 * @param fairShareWeight the team's share of a contended backend server, relative to other teams
 */
public record LimitConfig(int maxConcurrentRequests, int fairShareWeight) {}
