//! Least squares over measured points.

/// Holds one measured value at a number of nodes and of listed endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    pub nodes: f64,
    pub endpoints: f64,
    pub value: f64,
}

/// Holds the plane `intercept + per_node * nodes + per_endpoint * endpoints`.
#[derive(Debug, Clone, Copy)]
pub struct Plane {
    pub intercept: f64,
    pub per_node: f64,
    pub per_endpoint: f64,
    /// Root of the mean squared difference between points and plane.
    pub residual: f64,
}

impl Plane {
    /// Fits the plane; needs at least two node counts and two endpoint counts.
    pub fn fit(points: &[Point]) -> Plane {
        let mut sums = [[0.0; 4]; 3];
        for point in points {
            let row = [1.0, point.nodes, point.endpoints];
            for line in 0..3 {
                for column in 0..3 {
                    sums[line][column] += row[line] * row[column];
                }
                sums[line][3] += row[line] * point.value;
            }
        }
        let [intercept, per_node, per_endpoint] = solve(sums);
        let mut plane = Plane { intercept, per_node, per_endpoint, residual: 0.0 };
        let squares = points
            .iter()
            .map(|point| (point.value - plane.at(point.nodes, point.endpoints)).powi(2));
        plane.residual = (squares.sum::<f64>() / points.len().max(1) as f64).sqrt();
        plane
    }

    pub fn at(&self, nodes: f64, endpoints: f64) -> f64 {
        self.intercept + self.per_node * nodes + self.per_endpoint * endpoints
    }
}

/// Solves three linear equations by elimination; an undetermined factor becomes 0.
fn solve(mut rows: [[f64; 4]; 3]) -> [f64; 3] {
    for pivot in 0..3 {
        let best = (pivot..3)
            .max_by(|&left, &right| rows[left][pivot].abs().total_cmp(&rows[right][pivot].abs()));
        rows.swap(pivot, best.unwrap_or(pivot));
        if rows[pivot][pivot].abs() < 1e-9 {
            rows[pivot] = [0.0; 4];
            rows[pivot][pivot] = 1.0;
            continue;
        }
        let lead = rows[pivot];
        for (line, row) in rows.iter_mut().enumerate() {
            if line != pivot {
                let factor = row[pivot] / lead[pivot];
                for (value, top) in row.iter_mut().zip(lead) {
                    *value -= factor * top;
                }
            }
        }
    }
    [0, 1, 2].map(|line| rows[line][3] / rows[line][line])
}
