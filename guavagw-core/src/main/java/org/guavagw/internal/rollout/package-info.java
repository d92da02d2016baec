/** Chooses model versions, compares them statistically and controls rollouts. */
package org.guavagw.internal.rollout;
