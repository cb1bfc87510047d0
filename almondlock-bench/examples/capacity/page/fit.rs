//! Least squares over a few columns.

/// Determinants below this are taken for none.
const SINGULAR: f64 = 1e-12;

/// The factors with which the columns of `rows` come nearest to `values`.
pub fn solve<const N: usize>(rows: &[[f64; N]], values: &[f64]) -> Result<[f64; N], String> {
    let mut left = [[0.0; N]; N];
    let mut right = [0.0; N];
    for (row, value) in rows.iter().zip(values) {
        for i in 0..N {
            right[i] += row[i] * value;
            for j in 0..N {
                left[i][j] += row[i] * row[j];
            }
        }
    }
    eliminate(left, right)
}

fn eliminate<const N: usize>(
    mut left: [[f64; N]; N],
    mut right: [f64; N],
) -> Result<[f64; N], String> {
    for i in 0..N {
        let pivot = (i..N).max_by(|&a, &b| left[a][i].abs().total_cmp(&left[b][i].abs()));
        let pivot = pivot.unwrap_or(i);
        left.swap(i, pivot);
        right.swap(i, pivot);
        if left[i][i].abs() < SINGULAR {
            return Err("too few sizes were measured for a slope".to_owned());
        }
        for k in 0..N {
            if k == i {
                continue;
            }
            let factor = left[k][i] / left[i][i];
            let pivot_row = left[i];
            for (cell, above) in left[k].iter_mut().zip(pivot_row) {
                *cell -= factor * above;
            }
            right[k] -= factor * right[i];
        }
    }
    let mut solution = [0.0; N];
    for i in 0..N {
        solution[i] = right[i] / left[i][i];
    }
    Ok(solution)
}
