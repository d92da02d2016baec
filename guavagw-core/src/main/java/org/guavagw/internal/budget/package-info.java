/** Daily budgets of teams. Entries take slices of them in advance and spend from these. */
package org.guavagw.internal.budget;
