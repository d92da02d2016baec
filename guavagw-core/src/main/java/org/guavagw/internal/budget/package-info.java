/** Budgets of teams, spent by slices that entries hold ahead. */
package org.guavagw.internal.budget;
